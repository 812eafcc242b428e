"""Tests of the rate limits that targets name for the whole fleet."""

import random

import pytest

from pomeloward import balance
from pomeloward import model
from tests.balance import factories

_HOST = model.HostId("10.0.0.2:80")
_TARGET = factories.make_target("n1")
_REMOTE_TARGET = factories.make_target("f1", factories.REMOTE_ZONE)


class LimitedHost:
    """The limits of one host, which sends as many requests as they allow."""

    def __init__(self, load_ratio=1.0, seed=1):
        self.changes = []
        self.limits = balance.TargetLimits(
            factories.LOCAL_ZONE,
            lambda target, limit_per_s, source: self.changes.append(
                (target.id, limit_per_s, source)
            ),
            random.Random(seed),
        )
        self.limits.update_targets([_TARGET, _REMOTE_TARGET])
        self.limits.update_share(load_ratio, frozenset())

    def try_send(self, target_id, now_ms):
        """Send a request if it is allowed; return whether it was."""
        if not self.limits.allows_start(target_id, now_ms):
            return False
        self.limits.record_start(target_id, now_ms)
        return True

    def report(self, limit_per_s, now_ms, target_id="n1", zone=None):
        """Receive a report of another host."""
        self.limits.apply_report(
            _HOST,
            zone or factories.LOCAL_ZONE,
            [balance.TargetLimit(target_id, limit_per_s)],
            now_ms,
        )


def _send_as_allowed(hosts, limit_per_s, duration_ms):
    """Return when requests start that hosts with endless work send.

    Each request is answered after 100 ms, with the limit.
    """
    started_ms = []
    answers = []
    for now_ms in range(0, duration_ms, 10):
        while answers and answers[0][0] <= now_ms:
            _, host = answers.pop(0)
            host.limits.record_answer("n1", limit_per_s, now_ms)
        for host in hosts:
            if host.try_send("n1", now_ms):
                started_ms.append(now_ms)
                answers.append((now_ms + 100, host))
    return started_ms


def _most_in_4_s(started_ms, from_ms):
    return max(
        (
            sum(end_ms - 4_000 < one <= end_ms for one in started_ms)
            for end_ms in started_ms
            if end_ms >= from_ms
        ),
        default=0,
    )


@pytest.mark.parametrize("limit_per_s", [0.3, 1.0, 2.5, 7.2, 40.0])
@pytest.mark.parametrize("host_count", [1, 2, 12, 60])
def test_hosts_together_keep_the_limit(limit_per_s, host_count):
    """Shares that become free together would arrive as one burst."""
    rng = random.Random(host_count)
    weights = [rng.uniform(0.5, 1.5) for _ in range(host_count)]
    hosts = [
        LimitedHost(weight / sum(weights), seed)
        for seed, weight in enumerate(weights)
    ]
    started_ms = _send_as_allowed(hosts, limit_per_s, 20_000)
    allowed = 1.5 * limit_per_s * 4 + 5
    assert _most_in_4_s(started_ms, from_ms=4_500) <= allowed
    sent = sum(one >= 1_000 for one in started_ms)
    assert sent >= 0.8 * limit_per_s * 19 - 2


def test_target_that_takes_no_requests_is_asked_again():
    host = LimitedHost()
    host.limits.record_answer("n1", 0.0, 0.0)
    sent_ms = [
        now_ms
        for now_ms in range(0, 30_000, 50)
        if host.try_send("n1", now_ms)
    ]
    assert 1 <= len(sent_ms) <= 3


def test_answer_without_a_limit_ends_it_whatever_was_reported():
    host = LimitedHost()
    host.limits.record_answer("n1", 1.0, 0.0)
    host.report(1.0, 100.0)
    host.limits.record_answer("n1", None, 200.0)
    assert all(host.try_send("n1", 200.0) for _ in range(20))
    assert host.changes == [("n1", 1.0, "answer"), ("n1", None, "answer")]


def test_reported_limit_holds_before_the_first_answer():
    """Hosts without callers each exceeded a limit that they had not heard."""
    host = LimitedHost()
    host.report(2.0, 0.0)
    sent = sum(host.try_send("n1", now_ms) for now_ms in range(0, 2_000, 10))
    assert sent <= 4
    assert host.changes == [("n1", 2.0, _HOST)]


def test_host_of_another_zone_sends_nothing_to_a_limited_target():
    host = LimitedHost()
    host.report(50.0, 0.0, "f1", factories.REMOTE_ZONE)
    assert not any(host.try_send("f1", now_ms) for now_ms in range(0, 900, 10))
    host.limits.update_share(1.0, frozenset([factories.REMOTE_ZONE]))
    assert any(host.try_send("f1", now_ms) for now_ms in range(0, 900, 10))


@pytest.mark.parametrize("limit_per_s", [float("nan"), float("inf"), -1.0])
def test_implausible_reported_limit_is_ignored(limit_per_s):
    host = LimitedHost()
    host.report(limit_per_s, 0.0)
    assert host.limits.limited_count == 0


def test_report_of_a_zone_about_another_zones_targets_is_ignored():
    host = LimitedHost()
    host.report(1.0, 0.0, "n1", model.ZoneId("c"))
    assert host.limits.limited_count == 0


def test_limit_is_forgotten_when_nothing_confirms_it():
    """A host that sends the target nothing gets no answer that ends it."""
    host = LimitedHost(load_ratio=0.0)
    host.limits.record_answer("n1", 1.0, 0.0)
    host.report(1.0, 100.0)
    host.limits.expire(4_900.0)
    assert host.limits.share_per_s("n1") is not None
    host.limits.expire(5_100.0)
    assert host.limits.share_per_s("n1") is None
    assert host.changes[-1] == ("n1", None, "expired")


def test_low_limit_holds_until_the_next_request_is_allowed():
    """A limit of 0.2/s would end before the request that may confirm it."""
    host = LimitedHost()
    host.limits.record_answer("n1", 0.2, 0.0)
    sent = 0
    for now_ms in range(0, 40_000, 50):
        host.limits.expire(now_ms)
        if host.try_send("n1", now_ms):
            sent += 1
            host.limits.record_answer("n1", 0.2, now_ms)
    assert 7 <= sent <= 8


def test_restarted_target_has_no_limit():
    host = LimitedHost()
    host.limits.record_answer("n1", 1.0, 0.0)
    host.limits.update_targets([factories.make_target("n1", started_ms=5)])
    assert host.limits.share_per_s("n1") is None


def test_hosts_report_what_they_heard_and_relay_to_their_zone_only():
    """Relayed limits that come back would confirm each other for ever."""
    host = LimitedHost()
    host.report(3.0, 0.0, "f1", factories.REMOTE_ZONE)
    assert host.limits.answered_limits() == ()
    assert host.limits.relayed_limits() == (balance.TargetLimit("f1", 3.0),)
    host.report(2.0, 0.0, "n1")
    assert host.limits.answered_limits() == ()
    host.limits.record_answer("n1", 2.0, 0.0)
    assert host.limits.answered_limits() == (balance.TargetLimit("n1", 2.0),)


def _make_limited_balancer():
    host = LimitedHost()
    balancer = factories.make_balancer(
        [_TARGET, factories.make_target("n2")], target_limits=host.limits
    )
    return balancer, host


def test_limited_target_gets_no_requests_that_other_targets_can_take():
    balancer, host = _make_limited_balancer()
    route = factories.make_route()
    host.limits.record_answer("n1", 1.0, 0.0)
    for _ in range(3):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, route, (), False, 10.0
        )
        assert attempt.target_id == "n2"
    assert not balancer.start_attempt(
        factories.SERVICE_ID, route, (), False, 10.0
    )
    attempt = balancer.start_attempt(
        factories.SERVICE_ID, route, (), False, 1_010.0
    )
    assert attempt.target_id == "n1"


def test_queue_counts_the_slots_that_a_limit_keeps_in_use():
    """Requests waited in vain for the idle slots of a limited target."""
    balancer, host = _make_limited_balancer()
    now_ms = factories.settle_latency(balancer, factories.make_route())
    assert balancer.usable_slots(factories.SERVICE_ID, now_ms) == 6
    host.limits.record_answer("n1", 2.0, now_ms)
    # Two requests/s of 100 ms each keep 0.2 slots in use.
    assert balancer.usable_slots(factories.SERVICE_ID, now_ms) == 4
    assert balancer.has_spare_capacity(factories.SERVICE_ID)
    host.limits.record_answer("n2", 2.0, now_ms)
    assert balancer.usable_slots(factories.SERVICE_ID, now_ms) == 1


def test_relayed_limit_ends_although_two_hosts_relay_it():
    """Two active hosts of a zone confirmed it to each other for ever."""
    hosts = [LimitedHost(), LimitedHost()]
    for now_ms in range(0, 12_000, 500):
        if now_ms <= 2_000:
            for host in hosts:
                host.report(3.0, now_ms, "f1", factories.REMOTE_ZONE)
        for host in hosts:
            host.limits.expire(now_ms)
        relayed = [host.limits.relayed_limits() for host in hosts]
        for receiver, limits in zip(hosts, reversed(relayed), strict=True):
            receiver.limits.apply_report(
                _HOST, factories.LOCAL_ZONE, limits, now_ms
            )
    assert [host.limits.limited_count for host in hosts] == [0, 0]
