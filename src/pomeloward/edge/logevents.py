"""Logs changes of targets, zones and the configuration."""

import eliot

from pomeloward import balance
from pomeloward import model
from pomeloward import observability
from pomeloward import replica


def log_target_suspicion(
    target: replica.Target, reason: str, is_suspected: bool
) -> None:
    """Log that a target became suspected or is trusted again.

    A suspected target gets trial requests only.
    """
    eliot.log_message(
        message_type="target:suspected" if is_suspected else "target:sound",
        target=target.id,
        service=target.service,
        reason=reason,
    )


def log_target_limit(
    target: replica.Target, limit_per_s: float | None, source: str
) -> None:
    """Log the rate limit that a target names, None when it names none.

    ``source`` is ``answer`` for one of the target's answers to this host, the
    host that reported the limit, or ``expired`` if nothing has confirmed it
    for long.
    """
    eliot.log_message(
        message_type="target:limit",
        target=target.id,
        service=target.service,
        limit_per_s=limit_per_s,
        source=source,
    )


def log_target_notice(
    target_id: model.TargetId, notice: balance.TargetNotice
) -> None:
    """Log that a target is leaving, or wants no requests for a while."""
    eliot.log_message(
        message_type="target:notice",
        target=target_id,
        is_leaving=notice.is_leaving,
        pause_ms=round(notice.pause_ms),
    )


def log_target_path(is_lost: bool) -> None:
    """Log that this host can connect to no target, or to some again."""
    eliot.log_message(message_type="path:lost" if is_lost else "path:regained")


def log_held_bytes(is_exhausted: bool, byte_count: int) -> None:
    """Log that answers are passed on as they arrive, or buffered again."""
    eliot.log_message(
        message_type="answers:passed_on"
        if is_exhausted
        else "answers:buffered",
        held_bytes=byte_count,
    )


def log_quarantine(
    fingerprint: model.RequestFingerprint,
    crash_count: int,
    remaining_ms: float,
) -> None:
    """Log that a request is quarantined, or no longer if no time is left."""
    eliot.log_message(
        message_type="quarantine" if remaining_ms > 0 else "quarantine:ended",
        fingerprint=fingerprint,
        crashes=crash_count,
        remaining_ms=round(remaining_ms),
    )


def log_replica_change(change: replica.Change) -> None:
    """Log a change of the replica with the store's era and revision."""
    position = {
        "era": replica.era_of(change.revision),
        "revision": replica.number_of(change.revision),
    }
    if isinstance(change, replica.PolicyChange):
        eliot.log_message(
            message_type="configuration",
            version=observability.loggable_integer(change.policy.version),
            **position,
        )
    elif isinstance(change, replica.TargetChange):
        eliot.log_message(
            message_type="target",
            target=change.target.id,
            service=change.target.service,
            is_leaving=change.target.is_leaving,
            is_cold=change.target.is_cold,
            **position,
        )
    elif isinstance(change, replica.TargetRemoval):
        eliot.log_message(
            message_type="target:gone",
            target=change.target,
            **position,
        )
    else:
        eliot.log_message(
            message_type="zone",
            zone=change.zone,
            is_out=change.is_out,
            **position,
        )
