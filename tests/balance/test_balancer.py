"""Tests of choosing targets."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from pomeloward import balance
from tests.balance import factories

_OK = balance.Outcome.OK
_ROUTE = factories.make_route()
_SAFE = factories.make_route("s", is_idempotent=True)


def test_requests_stay_in_the_zone_while_it_has_slots():
    made = factories.make_balancer(
        [
            factories.make_target("n1"),
            factories.make_target("f1", factories.REMOTE_ZONE),
        ]
    )
    chosen = [
        made.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, 1.0
        ).target_id
        for _ in range(5)
    ]
    assert chosen == ["n1"] * 3 + ["f1"] * 2


def test_hosts_of_a_zone_divide_the_slots_of_its_targets():
    """Two hosts with two runs each queued at targets of two slots."""
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2", slots=2)]
    )
    made.update_active_hosts(True, 2, frozenset())
    chosen = []
    while run := made.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 0.0
    ):
        chosen.append(run.target_id)
    assert sorted(chosen) == ["n1", "n1", "n2"]


def test_waiting_requests_count_on_sound_near_slots_and_own_far_runs():
    """Requests were held for slots that hung or that other zones used."""
    made = factories.make_balancer(
        [
            factories.make_target("n1"),
            factories.make_target("n2"),
            factories.make_target("f1", factories.REMOTE_ZONE),
        ]
    )
    assert made.usable_slots(factories.SERVICE_ID, 0.0) == 6
    made.start_attempt(factories.SERVICE_ID, _ROUTE, {"n1", "n2"}, False, 0.0)
    assert made.usable_slots(factories.SERVICE_ID, 0.0) == 7
    run = made.start_attempt(
        factories.SERVICE_ID, _ROUTE, {"n2", "f1"}, False, 0.0
    )
    made.end_attempt(run, balance.Outcome.SILENT, 10.0, _ROUTE)
    assert made.usable_slots(factories.SERVICE_ID, 20.0) == 4
    assert (
        factories.make_balancer([]).usable_slots(factories.SERVICE_ID, 0.0)
        == 0
    )


def test_silent_target_gets_no_more_before_any_answer_failed():
    """A hang that health checks don't show costs orders outright."""
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    now_ms = factories.settle_latency(made, _ROUTE)
    hung = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, now_ms)
    late_ms = now_ms + made.latency_estimator(_ROUTE).silence_threshold_ms + 1
    assert late_ms - now_ms < 400
    for _ in range(3):
        run = made.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, late_ms
        )
        assert run.target_id != hung.target_id


def test_target_with_a_late_run_is_chosen_after_busier_ones():
    """Orders were lost to a target that was late, but not silent yet."""
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    slow = factories.make_route("slow")
    now_ms = factories.settle_latency(made, slow, latency_ms=100.0)
    for latency_ms, avoid in ((300.0, "n1"), (100.0, "n2")) * 3:
        run = made.start_attempt(
            factories.SERVICE_ID, slow, {avoid}, False, now_ms
        )
        made.end_attempt(run, _OK, now_ms + latency_ms, slow)
        now_ms += 300.0
    late = made.start_attempt(
        factories.SERVICE_ID, slow, {"n2"}, False, now_ms
    )
    now_ms += 0.9 * made.latency_estimator(slow).silence_threshold_ms
    for _ in range(2):
        run = made.start_attempt(factories.SERVICE_ID, slow, (), False, now_ms)
        assert run.target_id != late.target_id


def test_order_is_no_trial_while_a_sound_target_has_slots():
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    run = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
    made.end_attempt(run, balance.Outcome.SILENT, 1_000.0, _ROUTE)
    for now_ms in range(1_000, 6_000, 250):
        other = made.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, now_ms
        )
        assert other.target_id != run.target_id
        made.end_attempt(other, _OK, now_ms + 100, _ROUTE)


def test_suspected_target_is_tried_by_repeatable_requests_only():
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    now_ms = factories.settle_latency(made, _ROUTE)
    run = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, now_ms)
    made.end_attempt(run, balance.Outcome.SILENT, now_ms + 500, _ROUTE)
    now_ms += 900
    other = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, now_ms)
    assert other.target_id != run.target_id
    trial = made.start_attempt(factories.SERVICE_ID, _SAFE, (), True, now_ms)
    assert (trial.target_id, trial.selection_reason) == (
        run.target_id,
        "trial",
    )


def test_two_good_trials_end_a_suspicion():
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    run = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
    made.end_attempt(run, balance.Outcome.UNREACHABLE, 10.0, _ROUTE)
    now_ms = 1_000.0
    for _ in range(4):
        trial = made.start_attempt(
            factories.SERVICE_ID, _SAFE, (), True, now_ms
        )
        made.end_attempt(trial, _OK, now_ms + 100, _SAFE)
        now_ms += 150
    used = {
        made.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, now_ms
        ).target_id
        for _ in range(4)
    }
    assert run.target_id in used


def test_one_error_in_a_hundred_suspects_nothing():
    made = factories.make_balancer([factories.make_target("n1")])
    now_ms = 0.0
    for number in range(300):
        run = made.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, now_ms
        )
        ending = balance.Outcome.ERROR if number % 100 == 50 else _OK
        made.end_attempt(run, ending, now_ms + 100, _ROUTE)
        now_ms += 150
        assert run.selection_reason == "near"


def test_errors_in_a_row_suspect_a_target():
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    avoid = {"n2"}
    for now_ms in (0.0, 200.0):
        run = made.start_attempt(
            factories.SERVICE_ID, _ROUTE, avoid, False, now_ms
        )
        made.end_attempt(run, balance.Outcome.ERROR, now_ms + 20, _ROUTE)
    run = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 400.0)
    assert run.target_id == "n2"


def test_targets_that_leave_or_are_out_or_misplaced_get_nothing():
    made = factories.make_balancer(
        [
            factories.make_target("n1", is_leaving=True),
            factories.make_target("f1", factories.REMOTE_ZONE),
            factories.make_target("n2"),
        ],
        zones_out_of_service=[factories.REMOTE_ZONE],
    )
    run = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
    assert run.target_id == "n2"
    made.end_attempt(run, balance.Outcome.MISPLACED, 5.0, _ROUTE)
    assert (
        made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 10.0)
        is None
    )


def test_order_avoids_a_far_target_that_its_own_zone_doubts():
    """Orders that found their zone full met targets that hung for others."""
    made = factories.make_balancer(
        [factories.make_target(f"f{n}", factories.REMOTE_ZONE) for n in (1, 2)]
    )
    made.apply_health_report(factories.REMOTE_ZONE, {"f1"}, 0.0)
    for now_ms in range(0, 1_000, 100):
        run = made.start_attempt(
            factories.SERVICE_ID, _ROUTE, (), False, now_ms
        )
        assert run.target_id == "f2"
        made.end_attempt(run, _OK, now_ms + 50, _ROUTE)


def test_report_of_a_far_target_ends():
    made = factories.make_balancer(
        [factories.make_target(f"f{n}", factories.REMOTE_ZONE) for n in (1, 2)]
    )
    made.apply_health_report(factories.REMOTE_ZONE, {"f1"}, 0.0)
    runs = [
        made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 3_000.0)
        for _ in range(4)
    ]
    assert {run.target_id for run in runs} == {"f1", "f2"}


def test_hosts_of_another_zone_do_not_judge_near_targets():
    """A host whose path to this zone is cut doubts all targets here."""
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    made.apply_health_report(factories.REMOTE_ZONE, {"n1", "n2"}, 0.0)
    made.apply_health_report(factories.LOCAL_ZONE, {"n1", "n2"}, 0.0)
    run = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 10.0)
    assert run.selection_reason == "near"


def test_only_targets_of_the_own_zone_are_reported():
    made = factories.make_balancer(
        [
            factories.make_target("n1"),
            factories.make_target("f1", factories.REMOTE_ZONE),
        ]
    )
    for other in ("f1", "n1"):
        run = made.start_attempt(
            factories.SERVICE_ID, _ROUTE, {other}, False, 0.0
        )
        made.end_attempt(run, balance.Outcome.SILENT, 10.0, _ROUTE)
    assert made.unhealthy_targets(20.0) == ("n1",)


def test_idle_target_is_tried_by_a_repeatable_request():
    """A joined target has to get requests; an idle one may have hung."""
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    seen = collections.Counter()
    now_ms = 0.0
    for _ in range(40):
        run = made.start_attempt(factories.SERVICE_ID, _SAFE, (), True, now_ms)
        seen[run.target_id] += 1
        made.end_attempt(run, _OK, now_ms + 50, _SAFE)
        now_ms += 100
    assert min(seen.values()) >= 3


def test_order_goes_to_a_proven_target_before_a_new_one():
    """At the start of quiet-1 the first orders met hanging targets."""
    made = factories.make_balancer(
        [factories.make_target("n1"), factories.make_target("n2")]
    )
    run = made.start_attempt(factories.SERVICE_ID, _SAFE, {"n2"}, True, 0.0)
    made.end_attempt(run, _OK, 100.0, _SAFE)
    order = made.start_attempt(
        factories.SERVICE_ID, _ROUTE, (), False, 1_500.0
    )
    assert order.target_id == "n1"


def test_host_without_callers_keeps_to_its_connections():
    """Connections are costly, and idle hosts get few requests."""
    made = factories.make_balancer(
        [factories.make_target(f"n{n}") for n in range(5)]
    )
    made.update_active_hosts(False, 1, frozenset())
    seen = set()
    for now_ms in range(0, 20_000, 1_700):
        run = made.start_attempt(factories.SERVICE_ID, _SAFE, (), True, now_ms)
        made.end_attempt(run, _OK, now_ms + 100, _SAFE)
        seen.add(run.target_id)
    assert len(seen) == 1


@given(
    st.lists(st.tuples(st.floats(0.0, 120.0), st.booleans()), max_size=150),
    st.integers(1, 3),
)
def test_cold_target_gets_at_most_its_rate_from_all_hosts(steps, hosts):
    """Counted over the hosts of its zone, in each second."""
    cold_per_s = 11.0
    makers = [
        factories.make_balancer(
            [factories.make_target("n1", is_cold=True, slots=50)]
        )
        for _ in range(hosts)
    ]
    for one in makers:
        one.update_active_hosts(True, hosts, frozenset())
    now_ms, starts = 0.0, []
    for pause_ms, can_repeat in steps:
        now_ms += pause_ms
        for one in makers:
            run = one.start_attempt(
                factories.SERVICE_ID, _SAFE, (), can_repeat, now_ms
            )
            if run is not None:
                starts.append(now_ms)
                one.end_attempt(run, _OK, now_ms, _SAFE)
    for start_ms in starts:
        window = [s for s in starts if start_ms <= s < start_ms + 1_000]
        assert len(window) <= cold_per_s * 1.5 + 5


def _starts_in_a_second(made, service_route, now_ms):
    """Return how many requests a target gets that are answered at once."""
    starts = 0
    for step in range(100):
        at_ms = now_ms + 10.0 * step
        run = made.start_attempt(
            factories.SERVICE_ID, service_route, (), False, at_ms
        )
        if run is not None:
            starts += 1
            made.end_attempt(run, _OK, at_ms + 1.0, service_route)
    return starts


def test_target_that_was_down_is_taken_for_cold():
    """A server that restarted had 15 requests in a second, of 14.9 allowed."""
    made = factories.make_balancer([factories.make_target("n1")])
    run = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
    made.end_attempt(run, balance.Outcome.UNREACHABLE, 10.0, _ROUTE)
    assert _starts_in_a_second(made, _ROUTE, 800.0) <= 11
    assert _starts_in_a_second(made, _ROUTE, 4_000.0) > 50


def test_targets_of_a_zone_that_came_back_are_taken_for_cold():
    targets = [factories.make_target("n1")]
    made = factories.make_balancer(
        targets, zones_out_of_service=[factories.LOCAL_ZONE]
    )
    made.update_targets(targets, (), 1_000.0)
    assert _starts_in_a_second(made, _ROUTE, 1_100.0) <= 11
    assert _starts_in_a_second(made, _ROUTE, 5_000.0) > 50


def test_cold_target_gets_nothing_from_hosts_without_callers():
    """Twenty such hosts of a zone would each take the target's rate."""
    made = factories.make_balancer([factories.make_target("n1", is_cold=True)])
    made.update_active_hosts(False, 1, frozenset())
    assert (
        made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
        is None
    )


def test_hosts_choose_different_ones_of_equal_targets():
    """Checks of a configuration reach all hosts of a zone at once."""
    targets = [factories.make_target(f"n{number}") for number in range(10)]
    chosen = collections.Counter()
    for seed in range(40):
        made = factories.make_balancer(targets, seed=seed)
        made.update_active_hosts(False, 1, frozenset())
        run = made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
        chosen[run.target_id] += 1
    assert max(chosen.values()) <= 12


def test_cold_target_of_another_zone_gets_nothing():
    made = factories.make_balancer(
        [factories.make_target("f1", factories.REMOTE_ZONE, is_cold=True)]
    )
    assert (
        made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
        is None
    )
    made.update_active_hosts(True, 1, frozenset({factories.REMOTE_ZONE}))
    assert (
        made.start_attempt(factories.SERVICE_ID, _ROUTE, (), False, 0.0)
        is not None
    )


@given(st.lists(st.integers(1, 90), min_size=2, max_size=4))
def test_requests_are_split_by_weight(weights):
    splits = tuple(
        factories.policy.Split(f"s{n}", float(w))
        for n, w in enumerate(weights)
    )
    made = balance.WeightedRoundRobin()
    given_route = factories.policy.Route(
        "r", "h", "/", True, 1.0, 1.0, 1, splits
    )
    total = 200
    seen = collections.Counter(
        made.select_service(given_route) for _ in range(total)
    )
    for split in splits:
        share = split.weight / sum(weights)
        assert abs(seen[split.service] / total - share) <= 0.02
