"""Tests of the selection of targets.

Targets whose ids begin with n are in the zone of the balancer's host, those
with f in another zone.
"""

import collections

from hypothesis import given
from hypothesis import strategies as st

from pomeloward import balance
from tests.balance import factories

_OK = balance.Outcome.OK
_ROUTE = factories.make_route()
_IDEMPOTENT_ROUTE = factories.make_route("s", is_idempotent=True)


def test_requests_stay_in_the_zone_while_it_has_free_slots():
    balancer = factories.make_balancer(
        [
            factories.make_target("n1"),
            factories.make_target("f1", factories.REMOTE_ZONE),
        ]
    )
    selected_ids = [
        balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, 1.0
        ).target_id
        for _ in range(5)
    ]
    assert selected_ids == ["n1"] * 3 + ["f1"] * 2


def test_hosts_of_a_zone_share_the_slots_of_its_targets():
    """Requests queued at a target when two hosts each used both its slots."""
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2", slots=2)]
    )
    balancer.update_active_hosts(True, 2, frozenset())
    selected_ids = []
    while attempt := balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 0.0
    ):
        selected_ids.append(attempt.target_id)
    assert sorted(selected_ids) == ["n1", "n1", "n2"]


def test_usable_slots_are_healthy_local_slots_and_used_remote_slots():
    """Requests waited for slots of hung targets and of other zones' hosts."""
    balancer = factories.make_balancer(
        [
            factories.make_target("n1"),
            factories.make_target("n2"),
            factories.make_target("f1", factories.REMOTE_ZONE),
        ]
    )
    assert balancer.usable_slots(factories.SERVICE_ID, 0.0) == 6
    balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, {"n1", "n2"}, False, 0.0
    )
    assert balancer.usable_slots(factories.SERVICE_ID, 0.0) == 7
    attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, {"n2", "f1"}, False, 0.0
    )
    balancer.end_attempt(attempt, balance.Outcome.SILENT, 10.0, _ROUTE)
    assert balancer.usable_slots(factories.SERVICE_ID, 20.0) == 4
    assert (
        factories.make_balancer([]).usable_slots(factories.SERVICE_ID, 0.0)
        == 0
    )


def test_silent_target_gets_no_requests_before_an_attempt_ends():
    """Requests that can't be repeated fail at a hung target.

    The health checks of targets don't detect hangs.
    """
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    now_ms = factories.settle_latency(balancer, _ROUTE)
    hung_attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, now_ms
    )
    silent_at_ms = (
        now_ms + balancer.latency_estimator(_ROUTE).silence_threshold_ms + 1
    )
    assert silent_at_ms - now_ms < 400
    for _ in range(3):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, silent_at_ms
        )
        assert attempt.target_id != hung_attempt.target_id


def test_target_with_a_late_attempt_is_selected_after_busier_ones():
    """Requests failed at a target that was late but not silent yet."""
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    route = factories.make_route("slow")
    now_ms = factories.settle_latency(balancer, route, latency_ms=100.0)
    for latency_ms, excluded_id in ((300.0, "n1"), (100.0, "n2")) * 3:
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, route, {excluded_id}, False, now_ms
        )
        balancer.end_attempt(attempt, _OK, now_ms + latency_ms, route)
        now_ms += 300.0
    late_attempt = balancer.start_attempt(
        factories.SERVICE_ID, route, {"n2"}, False, now_ms
    )
    now_ms += 0.9 * balancer.latency_estimator(route).silence_threshold_ms
    for _ in range(2):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, route, (), False, now_ms
        )
        assert attempt.target_id != late_attempt.target_id


def test_non_repeatable_request_goes_to_a_healthy_target_with_slots():
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    silent_attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 0.0
    )
    balancer.end_attempt(
        silent_attempt, balance.Outcome.SILENT, 1_000.0, _ROUTE
    )
    for now_ms in range(1_000, 6_000, 250):
        other = balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, now_ms
        )
        assert other.target_id != silent_attempt.target_id
        balancer.end_attempt(other, _OK, now_ms + 100, _ROUTE)


def test_suspected_target_gets_repeatable_trial_requests_only():
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    now_ms = factories.settle_latency(balancer, _ROUTE)
    silent_attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, now_ms
    )
    balancer.end_attempt(
        silent_attempt, balance.Outcome.SILENT, now_ms + 500, _ROUTE
    )
    now_ms += 900
    other = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, now_ms
    )
    assert other.target_id != silent_attempt.target_id
    trial = balancer.start_attempt(
        factories.SERVICE_ID, _IDEMPOTENT_ROUTE, (), True, now_ms
    )
    assert (trial.target_id, trial.selection_reason) == (
        silent_attempt.target_id,
        "trial",
    )


def test_two_successful_trials_end_a_suspicion():
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    failed_attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 0.0
    )
    balancer.end_attempt(
        failed_attempt, balance.Outcome.UNREACHABLE, 10.0, _ROUTE
    )
    now_ms = 1_000.0
    for _ in range(4):
        trial = balancer.start_attempt(
            factories.SERVICE_ID, _IDEMPOTENT_ROUTE, (), True, now_ms
        )
        balancer.end_attempt(trial, _OK, now_ms + 100, _IDEMPOTENT_ROUTE)
        now_ms += 150
    used_ids = {
        balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, now_ms
        ).target_id
        for _ in range(4)
    }
    assert failed_attempt.target_id in used_ids


def test_one_error_in_a_hundred_causes_no_suspicion():
    balancer = factories.make_balancer([factories.make_target("n1")])
    now_ms = 0.0
    for number in range(300):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, now_ms
        )
        outcome = balance.Outcome.ERROR if number % 100 == 50 else _OK
        balancer.end_attempt(attempt, outcome, now_ms + 100, _ROUTE)
        now_ms += 150
        assert attempt.selection_reason == "near"


def test_two_consecutive_errors_cause_a_suspicion():
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    excluded_ids = {"n2"}
    for now_ms in (0.0, 200.0):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, excluded_ids, False, now_ms
        )
        balancer.end_attempt(
            attempt, balance.Outcome.ERROR, now_ms + 20, _ROUTE
        )
    attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 400.0
    )
    assert attempt.target_id == "n2"


def test_leaving_out_of_service_and_misplaced_targets_get_no_requests():
    balancer = factories.make_balancer(
        [
            factories.make_target("n1", is_leaving=True),
            factories.make_target("f1", factories.REMOTE_ZONE),
            factories.make_target("n2"),
        ],
        zones_out_of_service=[factories.REMOTE_ZONE],
    )
    attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 0.0
    )
    assert attempt.target_id == "n2"
    balancer.end_attempt(attempt, balance.Outcome.MISPLACED, 5.0, _ROUTE)
    assert (
        balancer.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 10.0)
        is None
    )


def test_request_avoids_a_remote_target_reported_as_unhealthy():
    """Requests that left their full zone went to hung targets.

    The hosts of the remote zone had already found these targets unhealthy.
    """
    balancer = factories.make_balancer(
        [factories.make_target(f"f{n}", factories.REMOTE_ZONE) for n in (1, 2)]
    )
    balancer.apply_health_report(factories.REMOTE_ZONE, {"f1"}, 0.0)
    for now_ms in range(0, 1_000, 100):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, now_ms
        )
        assert attempt.target_id == "f2"
        balancer.end_attempt(attempt, _OK, now_ms + 50, _ROUTE)


def test_report_of_an_unhealthy_remote_target_expires():
    balancer = factories.make_balancer(
        [factories.make_target(f"f{n}", factories.REMOTE_ZONE) for n in (1, 2)]
    )
    balancer.apply_health_report(factories.REMOTE_ZONE, {"f1"}, 0.0)
    attempts = [
        balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, 3_000.0
        )
        for _ in range(4)
    ]
    assert {attempt.target_id for attempt in attempts} == {"f1", "f2"}


def test_reports_on_targets_outside_the_reporters_zone_are_ignored():
    """A host that is cut off from a zone finds all its targets unhealthy."""
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    balancer.apply_health_report(factories.REMOTE_ZONE, {"n1", "n2"}, 0.0)
    balancer.apply_health_report(factories.LOCAL_ZONE, {"n1", "n2"}, 0.0)
    attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 10.0
    )
    assert attempt.selection_reason == "near"


def test_only_local_targets_are_listed_as_unhealthy():
    balancer = factories.make_balancer(
        [
            factories.make_target("n1"),
            factories.make_target("f1", factories.REMOTE_ZONE),
        ]
    )
    for excluded_id in ("f1", "n1"):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, {excluded_id}, False, 0.0
        )
        balancer.end_attempt(attempt, balance.Outcome.SILENT, 10.0, _ROUTE)
    assert balancer.unhealthy_targets(20.0) == ("n1",)


def test_idle_target_gets_a_repeatable_trial_request():
    """A new target has to get requests, and an idle one may hang."""
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    attempt_counts = collections.Counter()
    now_ms = 0.0
    for _ in range(40):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, _IDEMPOTENT_ROUTE, (), True, now_ms
        )
        attempt_counts[attempt.target_id] += 1
        balancer.end_attempt(attempt, _OK, now_ms + 50, _IDEMPOTENT_ROUTE)
        now_ms += 100
    assert min(attempt_counts.values()) >= 3


def test_non_repeatable_request_prefers_a_target_that_has_answered():
    """The first requests after the start of run quiet-1 met hung targets."""
    balancer = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    answered_attempt = balancer.start_attempt(
        factories.SERVICE_ID, _IDEMPOTENT_ROUTE, {"n2"}, True, 0.0
    )
    balancer.end_attempt(answered_attempt, _OK, 100.0, _IDEMPOTENT_ROUTE)
    attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 1_500.0
    )
    assert attempt.target_id == "n1"


def test_inactive_host_keeps_using_the_same_target():
    """New connections are costly, and inactive hosts get few requests."""
    balancer = factories.make_balancer(
        [factories.make_target(f"n{n}") for n in range(5)]
    )
    balancer.update_active_hosts(False, 1, frozenset())
    used_ids = set()
    for now_ms in range(0, 20_000, 1_700):
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, _IDEMPOTENT_ROUTE, (), True, now_ms
        )
        balancer.end_attempt(attempt, _OK, now_ms + 100, _IDEMPOTENT_ROUTE)
        used_ids.add(attempt.target_id)
    assert len(used_ids) == 1


@given(
    st.lists(st.tuples(st.floats(0.0, 120.0), st.booleans()), max_size=150),
    st.integers(1, 3),
)
def test_cold_target_gets_at_most_its_rate_from_all_hosts(steps, host_count):
    """The rate holds for all hosts of the zone together, in each second."""
    cold_per_s = 11.0
    balancers = [
        factories.make_balancer(
            [factories.make_target("n1", is_cold=True, slots=50)]
        )
        for _ in range(host_count)
    ]
    for balancer in balancers:
        balancer.update_active_hosts(True, host_count, frozenset())
    now_ms, starts_ms = 0.0, []
    for pause_ms, is_repeatable in steps:
        now_ms += pause_ms
        for balancer in balancers:
            attempt = balancer.start_attempt(
                factories.SERVICE_ID,
                _IDEMPOTENT_ROUTE,
                (),
                is_repeatable,
                now_ms,
            )
            if attempt is not None:
                starts_ms.append(now_ms)
                balancer.end_attempt(attempt, _OK, now_ms, _IDEMPOTENT_ROUTE)
    for start_ms in starts_ms:
        starts_in_window = [
            other_ms
            for other_ms in starts_ms
            if start_ms <= other_ms < start_ms + 1_000
        ]
        assert len(starts_in_window) <= cold_per_s * 1.5 + 5


def _count_started_attempts(balancer, route, now_ms):
    """Return how many of 100 attempts in one second can start.

    Each attempt is answered after 1 ms.
    """
    started_count = 0
    for step in range(100):
        at_ms = now_ms + 10.0 * step
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, route, (), False, at_ms
        )
        if attempt is not None:
            started_count += 1
            balancer.end_attempt(attempt, _OK, at_ms + 1.0, route)
    return started_count


def test_target_is_treated_as_cold_after_it_was_unreachable():
    """A restarted target got 15 requests/s where 14.9 were allowed."""
    balancer = factories.make_balancer([factories.make_target("n1")])
    attempt = balancer.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 0.0
    )
    balancer.end_attempt(attempt, balance.Outcome.UNREACHABLE, 10.0, _ROUTE)
    assert _count_started_attempts(balancer, _ROUTE, 800.0) <= 11
    assert _count_started_attempts(balancer, _ROUTE, 4_000.0) > 50


def test_targets_of_a_zone_back_in_service_are_treated_as_cold():
    targets = [factories.make_target("n1")]
    balancer = factories.make_balancer(
        targets, zones_out_of_service=[factories.LOCAL_ZONE]
    )
    balancer.update_targets(targets, (), 1_000.0)
    assert _count_started_attempts(balancer, _ROUTE, 1_100.0) <= 11
    assert _count_started_attempts(balancer, _ROUTE, 5_000.0) > 50


def test_cold_target_gets_no_requests_from_inactive_hosts():
    """Each of a zone's 20 inactive hosts would send at the full rate."""
    balancer = factories.make_balancer(
        [factories.make_target("n1", is_cold=True)]
    )
    balancer.update_active_hosts(False, 1, frozenset())
    assert (
        balancer.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
        is None
    )


def test_hosts_select_different_targets_among_equal_ones():
    """Requests that check a configuration reach all hosts of a zone at once.

    In a fixed order they would all select the same target.
    """
    targets = [factories.make_target(f"n{number}") for number in range(10)]
    selection_counts = collections.Counter()
    for seed in range(40):
        balancer = factories.make_balancer(targets, seed=seed)
        balancer.update_active_hosts(False, 1, frozenset())
        attempt = balancer.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, 0.0
        )
        selection_counts[attempt.target_id] += 1
    assert max(selection_counts.values()) <= 12


def test_cold_remote_target_gets_requests_only_if_its_zone_is_adopted():
    balancer = factories.make_balancer(
        [factories.make_target("f1", factories.REMOTE_ZONE, is_cold=True)]
    )
    assert (
        balancer.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
        is None
    )
    balancer.update_active_hosts(True, 1, frozenset({factories.REMOTE_ZONE}))
    assert (
        balancer.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
        is not None
    )


@given(st.lists(st.integers(1, 90), min_size=2, max_size=4))
def test_requests_are_split_by_weight(weights):
    splits = tuple(
        factories.policy.WeightedService(f"s{n}", float(weight))
        for n, weight in enumerate(weights)
    )
    round_robin = balance.WeightedRoundRobin()
    route = factories.policy.Route("r", "h", "/", True, 1.0, 1.0, 1, splits)
    total = 200
    selection_counts = collections.Counter(
        round_robin.select_service(route) for _ in range(total)
    )
    for split in splits:
        share = split.weight / sum(weights)
        assert abs(selection_counts[split.service] / total - share) <= 0.02
