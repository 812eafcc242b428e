"""State of a ledger in a planned hand-over; all times are relative."""

import msgspec

from pomeloward import model
from pomeloward.orders import entry
from pomeloward.orders import messages
from pomeloward.orders import recordedanswer


class EntryRecord(msgspec.Struct, frozen=True, array_like=True):
    """An entry with the time until its next change."""

    name: bytes
    team: model.TeamId
    digest: bytes
    state: entry.EntryState
    remaining_ms: float
    attempts: tuple[int, ...]
    answer: recordedanswer.RecordedAnswer | None
    is_granted: bool


class LedgerState(msgspec.Struct, frozen=True, array_like=True):
    """Entries, the wait for a complete history, and owners' clocks."""

    entries: tuple[EntryRecord, ...]
    incomplete_ms: float
    layout: int
    clocks: tuple[messages.OwnerClock, ...]
