"""Log lines for changes of what a host believes."""

import eliot

from pomeloward import replica


def log_suspicion(
    target: replica.Target, reason: str, is_suspected: bool
) -> None:
    """Log that a target gets trials only, or all requests again."""
    eliot.log_message(
        message_type="target:suspected" if is_suspected else "target:sound",
        target=target.id,
        service=target.service,
        reason=reason,
    )


def log_change(one: replica.Change) -> None:
    """Log a change of the replica, with the store's revision."""
    if isinstance(one, replica.PolicyChange):
        eliot.log_message(
            message_type="configuration",
            version=one.policy.version,
            revision=one.revision,
        )
    elif isinstance(one, replica.TargetChange):
        eliot.log_message(
            message_type="target",
            target=one.target.id,
            service=one.target.service,
            is_leaving=one.target.is_leaving,
            is_cold=one.target.is_cold,
            revision=one.revision,
        )
    elif isinstance(one, replica.TargetRemoval):
        eliot.log_message(
            message_type="target:gone",
            target=one.target,
            revision=one.revision,
        )
    else:
        eliot.log_message(
            message_type="zone",
            zone=one.zone,
            is_out=one.is_out,
            revision=one.revision,
        )
