"""Votes and renewals by the partitions of a host."""

import time

from bench.capacity import fit
from bench.capacity import framing
from bench.capacity import memory
from bench.capacity import plannedfleet
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward import model
from pomeloward.ownership import gazette
from pomeloward.ownership import holder as holders
from pomeloward.ownership import messages
from pomeloward.ownership import owners
from pomeloward.ownership import territory
from pomeloward.ownership import voter as voters

_REGION = model.RegionId("region-0")
_INCARNATION = model.Incarnation(1_700_000_000_000)
_EPOCH = 1_790_000_000_000
_SIZES = (213, 427, 640, 1_280)
_ROUNDS = 20


def measure(run: runs.Run) -> list[row.Row]:
    """Return the rows of ownership."""
    counts, sent, spent, states = [], [], [], []
    for partitions in _SIZES:
        owned, asked, ask_bytes, core_s, answers = _renew(partitions)
        counts.append((owned, asked))
        sent.append((owned, ask_bytes + answers))
        spent.append((owned, core_s))
        states.append((owned, _state_mb(owned)))
    by_count, by_bytes, by_time = map(fit.fit, (counts, sent, spent))
    owned = size.OWNED_PARTITIONS
    messages_per_s = 2 * by_count.at(owned)
    bytes_per_s = by_bytes.at(owned)
    core = by_time.at(owned)
    core += run.transport.core_ratio(messages_per_s, bytes_per_s)
    return [
        row.Row(
            row.Role.VOTER,
            "renewals of 3 owned and votes for 21 partitions each second",
            "leases of 3 s by 7 voters; one message to each voter",
            state_mb=fit.fit(states).at(owned),
            messages_per_s=messages_per_s,
            bytes_per_s=bytes_per_s,
            core_ratio=core,
            error_ratio=max(
                each.error_ratio for each in (by_count, by_bytes, by_time)
            ),
        ),
        _gazette(run),
    ]


def _renew(
    partitions: int,
) -> tuple[float, float, float, float, float]:
    """Return owned partitions, and per second asks, bytes and time.

    They are means over the hosts that own; the answers' bytes come last.
    """
    view = plannedfleet.region_view(_REGION, partitions)
    hosts = list(view.hosts())
    land = territory.Territory(view, _REGION)
    firsts = land.firsts()
    sample = [host.id for host in hosts[::20]]
    offices = {host.id: voters.Voter(-1e6) for host in hosts}
    owned = asks = ask_bytes = answer_bytes = 0
    spent = 0.0
    for own in sample:
        held = holders.Holder()
        numbers = [n for n, first in enumerate(firsts) if first == own]
        owned += len(numbers)
        for number in numbers:
            electorate = land.electorate(number)
            held.stand(number, _EPOCH, electorate, 0.0, is_probing=False)
        _exchange(own, held, held.bids(0.0), offices, 0.0)
        started = time.process_time()
        for number in range(_ROUNDS):
            at_ms = float(number)
            renewed = held.renewals(at_ms)
            _exchange(own, held, renewed, offices, at_ms)
        spent += (time.process_time() - started) / _ROUNDS
        for voter, bids in renewed.items():
            ask = _ask(bids)
            asks += 1
            ask_bytes += framing.ask_bytes(ask)
            answer = offices[voter].answer(
                own, ask, model.Version(3_000), True, float(_ROUNDS)
            )
            answer_bytes += framing.answer_bytes(answer)
    many = len(sample)
    return (
        owned / many,
        asks / many,
        ask_bytes / many,
        spent / many,
        answer_bytes / many,
    )


def _state_mb(owned: float) -> float:
    return memory.retained_mb(lambda: _state(owned))


def _state(owned: float) -> object:
    """Return votes and tenures of a host with so many partitions."""
    voter = voters.Voter(-1e6)
    for number in range(round(owned * size.VOTERS)):
        bids = (messages.Bid(number, _EPOCH + number),)
        owner = model.HostId(f"host-{number}")
        voter.answer(owner, _ask(bids), model.Version(3_000), True, 0.0)
    return voter


def _ask(bids: tuple[messages.Bid, ...]) -> messages.VoteAsk:
    return messages.VoteAsk(
        region=_REGION,
        version=model.Version(3_000),
        incarnation=_INCARNATION,
        bids=bids,
    )


def _exchange(
    own: model.HostId,
    held: holders.Holder,
    bids_by_voter: holders.Bids,
    offices: dict[model.HostId, voters.Voter],
    now_ms: float,
) -> None:
    for voter, bids in bids_by_voter.items():
        answer = offices[voter].answer(
            own, _ask(bids), model.Version(3_000), True, now_ms
        )
        held.answered(voter, bids, answer, now_ms, now_ms)


def _table() -> object:
    """Return a full table of owners, as it arrives from a peer."""
    table = owners.OwnerTable()
    for number in range(size.PARTITIONS):
        host = model.HostId(f"host-{number % 640}")
        table.merge((messages.Tenancy(number, _EPOCH + number, host),))
    return table


def _gazette(run: runs.Run) -> row.Row:
    """Cost of the table of owners, for the moves that restarts cause."""
    tenancy = messages.Tenancy(600, _EPOCH, model.HostId("host-600"))
    news = messages.Announce(region=_REGION, tenancies=(tenancy,))
    compare = framing.ask_bytes(
        messages.OwnersAsk(region=_REGION, checksum=1 << 60)
    ) + framing.answer_bytes(messages.OwnersAnswer())
    # A partition leaves a host that stops and returns to it.
    moves = 2 * size.STARTS_PER_S / size.REGIONS * size.OWNED_PARTITIONS
    told = moves * gazette.FAN_OUT
    compares = 1_000.0 / gazette.COMPARE_MS
    messages_per_s = told + 2 * compares
    bytes_per_s = told * framing.tell_bytes(news) + compares * compare
    return row.Row(
        row.Role.EVERY,
        "table of owners: announcements and comparison",
        "gossip to 4 contacts, checksum with one contact a second",
        state_mb=memory.retained_mb(_table),
        messages_per_s=messages_per_s,
        bytes_per_s=bytes_per_s,
        core_ratio=run.transport.core_ratio(messages_per_s, bytes_per_s),
    )
