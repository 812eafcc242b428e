"""Tests of policies that don't fit in a message between hosts."""

import anyio
import msgspec
import pytest
import trio
import trio.testing

from pomeloward import model
from pomeloward import policy
from pomeloward import replica
from pomeloward.peer import wireformat
from tests.replica import samples


class LinkedPeers:
    """Carries messages between hosts, encoded as on a connection."""

    def __init__(self, host, hosts):
        self.host = host
        self.hosts = hosts
        self.handlers = {}
        self.is_cut = False
        self.request_count = 0
        self.failing_request = None
        hosts[host] = self

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def notify(self, host, notice):
        sent = _pass_wire(notice, wireformat.EnvelopeKind.NOTIFICATION)
        if not self.is_cut:
            self.hosts[host].handle(self.host, sent)

    async def request(self, host, question, timeout_ms):
        await anyio.sleep(0.002)
        self.request_count += 1
        if self.is_cut or self.request_count == self.failing_request:
            raise model.PeerUnavailable(f"no response from {host}")
        asked = _pass_wire(question, wireformat.EnvelopeKind.REQUEST)
        response = self.hosts[host].handle(self.host, asked)
        if response is None:
            raise model.PeerUnavailable(f"no response from {host}")
        return _pass_wire(response, wireformat.EnvelopeKind.RESPONSE)

    def handle(self, sender, message):
        handler = self.handlers.get(type(message))
        if handler is None:
            return None
        return handler(sender, message, anyio.current_time() * 1_000)


def _pass_wire(message, kind):
    encoded = wireformat.encode_envelope(kind, 1, message)
    (envelope,) = wireformat.decode_frame(wireformat.encode_frame([encoded]))
    return envelope.message


class Host:
    """A replica with a replicator that knows all other hosts."""

    def __init__(self, name, hosts):
        self.replica = replica.Replica()
        self.peers = LinkedPeers(name, hosts)
        self.applied = []
        self.replicator = replica.Replicator(
            self.replica,
            self.peers,
            lambda: [host for host in hosts if host != name],
            self.applied.extend,
        )


def _make_large_change(version, digest_count=60_000):
    digests = tuple(
        policy.hash_api_key(b"%d" % number) for number in range(digest_count)
    )
    team = policy.Team(model.TeamId("many"), digests)
    change = samples.make_policy_change(version, version)
    return msgspec.structs.replace(
        change, policy=msgspec.structs.replace(change.policy, teams=(team,))
    )


def _run(scenario, host_count=2):
    async def main():
        hosts = {}
        made = [Host(f"10.0.0.{n}:80", hosts) for n in range(host_count)]
        async with anyio.create_task_group() as tasks:
            for host in made:
                tasks.start_soon(host.replicator.run)
            await scenario(*made)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    "change",
    [
        _make_large_change(2),
        samples.make_policy_change(2, 2**63),
        samples.make_policy_change(2, 10**3_999),
    ],
)
def test_policy_larger_than_a_message_reaches_a_host_that_does_not_read(
    change,
):
    """Hosts without an own read of the store kept a withdrawn key."""

    async def scenario(reader, other):
        reader.replicator.merge_and_forward([change])
        await anyio.sleep(1.0)
        assert other.replica.policy == change.policy
        assert other.replica.digest == reader.replica.digest
        assert other.applied == [change]

    _run(scenario)


def test_policy_larger_than_a_message_is_in_the_snapshot_of_a_restarted_host():
    async def scenario(reader, other):
        change = _make_large_change(7)
        other.peers.is_cut = reader.peers.is_cut = True
        reader.replicator.merge_and_forward([change])
        other.peers.is_cut = reader.peers.is_cut = False
        for _ in range(4):
            now_ms = anyio.current_time() * 1_000
            other.replicator.is_in_sync_with(
                reader.peers.host, reader.replica.digest, now_ms
            )
            await anyio.sleep(0.4)
        assert other.replica.policy == change.policy

    _run(scenario)


def test_more_targets_than_a_message_holds_are_in_a_snapshot():
    """At the planned size one message would exceed its limit."""
    changes = [
        replica.TargetChange(
            number + 1, samples.make_target(f"target-{number:060}")
        )
        for number in range(9_800)
    ]

    async def scenario(reader, other):
        reader.replica.merge(changes)
        reader.replica.merge([samples.make_policy_change(20_000, 3)])
        for _ in range(2):
            now_ms = anyio.current_time() * 1_000
            other.replicator.is_in_sync_with(
                reader.peers.host, reader.replica.digest, now_ms
            )
            await anyio.sleep(0.4)
        assert other.replica.digest == reader.replica.digest

    _run(scenario)


def test_fetch_that_is_cut_off_is_made_at_another_host():
    async def scenario(reader, second_reader, other):
        change = _make_large_change(5)
        other.peers.failing_request = 3
        reader.replicator.merge_and_forward([change])
        await anyio.sleep(1.0)
        assert other.peers.request_count > 3
        assert other.replica.policy == change.policy

    _run(scenario, host_count=3)


def test_policy_replaced_during_its_transfer_is_not_mixed_with_the_next():
    async def scenario(reader, other):
        older, newer = _make_large_change(5), _make_large_change(6, 70_000)
        reader.replicator.merge_and_forward([older])
        await anyio.sleep(0.01)
        reader.replicator.merge_and_forward([newer])
        await anyio.sleep(1.0)
        assert other.replica.policy == newer.policy
        assert other.applied == [newer]

    _run(scenario)


@pytest.mark.parametrize(
    "offer",
    [
        replica.PolicyOffer(revision=1, version="", size_bytes=10),
        replica.PolicyOffer(revision=1, version="-5", size_bytes=10),
        replica.PolicyOffer(revision=1, version="9" * 5_000, size_bytes=10),
        replica.PolicyOffer(revision=1, version="9", size_bytes=2**40),
        replica.PolicyOffer(revision=1, version="9", size_bytes=0),
    ],
)
def test_implausible_offer_is_ignored(offer):
    async def scenario(reader, other):
        reader.peers.notify(other.peers.host, offer)
        await anyio.sleep(1.0)
        assert other.replica.policy is None

    _run(scenario)
