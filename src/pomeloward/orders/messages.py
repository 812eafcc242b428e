"""Messages between hosts, owners and voters about orders."""

import enum

import msgspec

from pomeloward import model
from pomeloward import peer
from pomeloward.orders import recordedanswer

# The voters of each roster in circulation.
Electorate = tuple[tuple[model.HostId, ...], ...]


class Term(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One ownership of a partition.

    ``number`` is random. It tells terms apart if epochs start again, after
    most voters of a partition lost their memory.
    """

    epoch: model.Epoch
    number: int


class Issued(msgspec.Struct, frozen=True, array_like=True):
    """Where and when an id was issued, on its issuer's clock."""

    term: Term
    birth_ms: int


class Order(msgspec.Struct, frozen=True, array_like=True):
    """An order: the partition and name of its key, and its body's digest.

    ``layout`` is a hash of the mapping of callers' own keys to partitions.
    """

    partition: model.PartitionId
    name: bytes
    team: model.TeamId
    digest: bytes
    issued: Issued | None
    layout: int


class Verdict(enum.Enum):
    """The owner's answers to a claim."""

    RUN = "run"
    WAIT = "wait"
    RECORDED = "recorded"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    FULL = "full"
    UNAVAILABLE = "unavailable"


class Outcome(enum.Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    CLEARED = "cleared"
    ABANDONED = "abandoned"


class ClaimOrder(peer.Message, frozen=True, tag="claim_order"):
    """Asks the owner whether an order may run; ``attempt`` is random."""

    order: Order
    attempt: int


class ClaimAnswer(peer.Message, frozen=True, tag="claim_answer"):
    """Answers a claim.

    The fields from ``lifetime_ms`` to ``electorate`` come with ``RUN``.
    ``owner`` names the owner where the asked host knows a better one.
    """

    verdict: Verdict
    answer: recordedanswer.RecordedAnswer | None = None
    lifetime_ms: float = 0.0
    term: Term = Term(model.Epoch(0), 0)
    owner_now_ms: float = 0.0
    electorate: Electorate = ()
    owner: model.HostId | None = None


class RecordIntent(peer.Message, frozen=True, tag="record_intent"):
    """Asks a voter to remember that an attempt may run.

    ``owner_now_ms`` is the owner's clock when it answered the claim.
    """

    order: Order
    attempt: int
    term: Term
    owner_now_ms: float


class IntentAnswer(peer.Message, frozen=True, tag="intent_answer"):
    """Whether the voter remembers the intent."""

    is_recorded: bool


class SettleOrder(peer.Message, frozen=True, tag="settle_order"):
    """Reports the outcome of an attempt to the owner and the voters."""

    order: Order
    attempt: int
    outcome: Outcome
    answer: recordedanswer.RecordedAnswer | None = None


class SettleAnswer(peer.Message, frozen=True, tag="settle_answer"):
    """Whether the owner took the outcome in."""

    is_settled: bool


class IntentState(msgspec.Struct, frozen=True, array_like=True):
    """An intent and its outcome, as a voter remembers them."""

    order: Order
    attempt: int
    outcome: Outcome | None
    answer: recordedanswer.RecordedAnswer | None


class OwnerClock(msgspec.Struct, frozen=True, array_like=True):
    """What the clock of a term's owner shows at least, now."""

    term: Term
    now_ms: float


class ReadHistory(peer.Message, frozen=True, tag="read_history"):
    """A new owner asks a voter for intents after a sequence number.

    From then on the voter records no intent of an earlier term.
    """

    partition: model.PartitionId
    term: Term
    after: int


class History(peer.Message, frozen=True, tag="history"):
    """A part of a voter's memory.

    ``is_complete`` tells whether the memory reaches back for the horizon,
    ``last`` is the sequence number of the last intent in this part.
    """

    is_complete: bool
    intents: tuple[IntentState, ...]
    clocks: tuple[OwnerClock, ...]
    last: int
    is_end: bool


class IssueIds(peer.Message, frozen=True, tag="issue_ids"):
    """Asks the owner of a partition for order ids."""

    partition: model.PartitionId
    team: model.TeamId
    count: int


class IssuedIds(peer.Message, frozen=True, tag="issued_ids"):
    """The ids; none where the asked host does not own the partition."""

    ids: tuple[str, ...] = ()
