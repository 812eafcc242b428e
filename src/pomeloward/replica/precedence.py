"""Tells which of two changes of a target or a zone applies."""

import msgspec

from pomeloward.replica import change as changes
from pomeloward.replica import revision as revisions


def resolve_changes(
    known: changes.Change, received: changes.Change
) -> changes.Change:
    """Return the change that applies of two with the same key.

    In one era of the store that is the later one. An entry of a later era
    may come from the copy that the store was restored from. Then what the
    target itself reported last applies, and so does its removal. A removal
    of a later era always applies, since living targets register again.
    """
    if isinstance(received, changes.TargetRemoval):
        received = _with_last_report(received, known)
    known_era = revisions.era_of(known.revision)
    received_era = revisions.era_of(received.revision)
    if known_era == received_era:
        return max(known, received, key=_order_within_era)
    older, newer = known, received
    if known_era > received_era:
        older, newer = received, known
    if (
        isinstance(newer, changes.TargetChange)
        and isinstance(older, changes.TargetChange | changes.TargetRemoval)
        and _was_reported_before(newer, older)
    ):
        # The restored store still has the target, so its later report is
        # carried into the new era.
        return msgspec.structs.replace(older, revision=newer.revision)
    return newer


def _with_last_report(
    removal: changes.TargetRemoval, known: changes.Change
) -> changes.TargetRemoval:
    """Return a removal that tells the last report before it, if known."""
    if removal.last_report != changes.NO_REPORT or not isinstance(
        known, changes.TargetChange | changes.TargetRemoval
    ):
        return removal
    return msgspec.structs.replace(removal, last_report=known.last_report)


def _was_reported_before(
    newer: changes.TargetChange,
    older: changes.TargetChange | changes.TargetRemoval,
) -> bool:
    """Tell whether a target sent an entry before what is known of it.

    The entry that it sent last before its removal counts as sent before.
    """
    if isinstance(older, changes.TargetRemoval):
        return newer.last_report <= older.last_report
    return newer.last_report < older.last_report


def _order_within_era(
    change: changes.Change,
) -> tuple[int, changes.LastReport, bool]:
    """Return the key of the order of changes.

    At the same revision, what was carried over from the former era applies
    before the entry of the copy.
    """
    last_report = changes.NO_REPORT
    if isinstance(change, changes.TargetChange | changes.TargetRemoval):
        last_report = change.last_report
    is_removal = isinstance(change, changes.TargetRemoval)
    return change.revision, last_report, is_removal
