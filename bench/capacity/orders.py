"""Orders: messages, bytes, processor time and memory over the horizon."""

import collections.abc
import time

from bench.capacity import fit
from bench.capacity import framing
from bench.capacity import memory
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward import model
from pomeloward.orders import horizon
from pomeloward.orders import ledger as ledgers
from pomeloward.orders import messages
from pomeloward.orders import recordedanswer
from pomeloward.orders import recovery
from pomeloward.orders import witness as witnesses
from pomeloward.peer import wireformat

_VERDICT = messages.Verdict
_TERM = messages.Term(model.Epoch(1_790_000_000_000), (1 << 62) + 1)
_SIZES = (250, 500, 1_000, 2_000)
_ANSWER = recordedanswer.RecordedAnswer(
    201, ((b"content-type", b"application/json"),), b"x" * 256
)
_PARTITIONS = 21
_LAYOUT = (1 << 62) + 2


def per_order(asked_voters: int) -> tuple[float, float]:
    """Return messages and bytes of one order that runs.

    A claim and its answer, intents at voters, the outcome at the owner and
    at the voters. No host of the order is its own voter.
    """
    order = _order(1)
    electorate = (
        tuple(model.HostId(f"host-{100 + n}") for n in range(size.VOTERS)),
    )
    claim = framing.ask_bytes(
        messages.ClaimOrder(order=order, attempt=_big(1))
    )
    granted = framing.answer_bytes(
        messages.ClaimAnswer(
            verdict=_VERDICT.RUN,
            lifetime_ms=horizon.PERMIT_MS,
            term=_TERM,
            owner_now_ms=123_456_789.125,
            electorate=electorate,
        )
    )
    intent = framing.ask_bytes(_intent(1))
    recorded = framing.answer_bytes(messages.IntentAnswer(is_recorded=True))
    settle = _settle(1)
    told = framing.tell_bytes(settle)
    asked = framing.ask_bytes(settle)
    settled = framing.answer_bytes(messages.SettleAnswer(is_settled=True))
    total = claim + granted + asked + settled
    total += asked_voters * (intent + recorded + told)
    return 4.0 + 3 * asked_voters, float(total)


def measure(run: runs.Run, asked_voters: int) -> list[row.Row]:
    """Return the row of orders."""
    orders_per_s = size.HOST_REQUESTS_PER_S * size.ORDER_RATIO
    count, total = per_order(asked_voters)
    messages_per_s = orders_per_s * count
    bytes_per_s = orders_per_s * total
    by_memory = fit.fit([(float(n), _kept_mb(_remember, n)) for n in _SIZES])
    by_ledger = fit.fit([(float(n), _kept_mb(_own, n)) for n in _SIZES])
    by_time = fit.fit([(float(n), _time(n)) for n in _SIZES])
    kept_s = horizon.retention_ms(horizon.HORIZON_MS) / 1_000
    kept = orders_per_s * kept_s
    core = by_time.slope * orders_per_s
    core += run.transport.core_ratio(messages_per_s, bytes_per_s)
    return [
        row.Row(
            row.Role.ORDERS,
            f"orders: 2% of requests, {orders_per_s:.1f}/s for each host, "
            f"remembered {kept_s:.0f} s",
            f"claim at the owner, intents at {asked_voters} of 7 voters",
            state_mb=by_memory.at(kept * asked_voters) + by_ledger.at(kept),
            messages_per_s=messages_per_s,
            bytes_per_s=bytes_per_s,
            core_ratio=core,
            error_ratio=max(
                by_memory.error_ratio,
                by_ledger.error_ratio,
                by_time.error_ratio,
            ),
            change="short partition and epoch numbers instead of names",
        )
    ]


def _kept_mb(
    build: collections.abc.Callable[[int], object], count: int
) -> float:
    return memory.retained_mb(lambda: build(count))


def _big(number: int) -> int:
    return (1 << 62) + number


def _order(number: int) -> messages.Order:
    return messages.Order(
        model.PartitionId(f"region-0/{number % _PARTITIONS}"),
        number.to_bytes(16, "big"),
        model.TeamId(f"team-{number % 64_000}"),
        number.to_bytes(32, "big"),
        None,
        _LAYOUT,
    )


def _intent(number: int) -> messages.RecordIntent:
    return messages.RecordIntent(
        order=_order(number),
        attempt=_big(number),
        term=_TERM,
        owner_now_ms=123_456_789.125,
    )


def _settle(number: int) -> messages.SettleOrder:
    return messages.SettleOrder(
        order=_order(number),
        attempt=_big(number),
        outcome=messages.Outcome.FINISHED,
        answer=_ANSWER,
    )


def _received(content: messages.RecordIntent | messages.SettleOrder) -> object:
    """Return a message as it arrives, with no object shared."""
    frame = wireformat.encode_frame(
        [
            wireformat.encode_envelope(
                wireformat.EnvelopeKind.NOTIFICATION, 0, content
            )
        ]
    )
    return wireformat.decode_frame(frame)[0].message


def _remember(count: int) -> object:
    voter = witnesses.Witness(-1e9)
    for number in range(count):
        intent = _received(_intent(number))
        assert isinstance(intent, messages.RecordIntent)
        if not voter.record(intent, 0.0):
            raise RuntimeError("the voter recorded nothing")
        settle = _received(_settle(number))
        assert isinstance(settle, messages.SettleOrder)
        voter.settle(settle, 1.0)
    return voter


def _own(count: int) -> object:
    owner = _ledger()
    for number in range(count):
        _claim(owner, number)
    return owner


def _ledger() -> ledgers.Ledger:
    """Return the ledger of a long-standing owner."""
    owner = ledgers.Ledger(_TERM, _LAYOUT, -1e9)
    owner.recover(recovery.Recovery(()), 0.0)
    return owner


def _claim(owner: ledgers.Ledger, number: int) -> None:
    received = _received(_settle(number))
    assert isinstance(received, messages.SettleOrder)
    claim = messages.ClaimOrder(order=received.order, attempt=_big(number))
    answer = owner.claim(claim, 0.0)
    if answer.verdict is not _VERDICT.RUN:
        raise RuntimeError(f"the owner answered {answer.verdict}")
    owner.settle(received, 1.0)


def _time(count: int) -> float:
    """Return the time of so many orders at one owner and its voters."""
    owner = _ledger()
    voters = [witnesses.Witness(-1e9) for _ in range(size.VOTERS)]
    intents = [_intent(number) for number in range(count)]
    settles = [_settle(number) for number in range(count)]
    started = time.process_time()
    for number in range(count):
        claim = messages.ClaimOrder(
            order=intents[number].order, attempt=_big(number)
        )
        answer = owner.claim(claim, 0.0)
        if answer.verdict is not _VERDICT.RUN:
            raise RuntimeError(f"the owner answered {answer.verdict}")
        for voter in voters:
            voter.record(intents[number], 0.0)
            voter.settle(settles[number], 1.0)
        owner.settle(settles[number], 1.0)
    return time.process_time() - started
