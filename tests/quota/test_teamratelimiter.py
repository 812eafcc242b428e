"""Tests of the limits on the requests that all hosts admit together."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pomeloward import model
from pomeloward import policy
from pomeloward import quota

_TEAM_ID = model.TeamId("team")
_RATE_PER_S = 57.0
_BURST_REQUESTS = 57.0
# The operators' limit on the requests that arrive at targets: in any window
# of five seconds, the rate and the burst, exceeded by this ratio and number.
_WINDOW_MS = 5_000.0
_EXCESS_RATIO = 0.25
_EXCESS_REQUESTS = 20.0


def _max_requests_per_window():
    entitled_requests = _RATE_PER_S * _WINDOW_MS / 1_000 + _BURST_REQUESTS
    return entitled_requests * (1 + _EXCESS_RATIO) + _EXCESS_REQUESTS


def _make_team(rate_per_s=_RATE_PER_S, burst_requests=_BURST_REQUESTS):
    return policy.Team(_TEAM_ID, (), None, rate_per_s, burst_requests)


class SimulatedFleet:
    """Simulates hosts that admit one team's requests, one limiter a host.

    The hosts report to each other while ``unheard_host_count`` is 0. Above 0
    no report is delivered, and each host deducts the part of that many hosts.
    """

    def __init__(self, host_count, is_first_start=True):
        self.rate_limiters = [
            quota.TeamRateLimiter(is_first_start) for _ in range(host_count)
        ]
        for rate_limiter in self.rate_limiters:
            rate_limiter.update_teams([_make_team()], 0.0)
        self.admitted_at_ms = []
        self.refused_count = 0
        self.unheard_host_count = 0

    def run(self, demand_per_s, duration_ms, start_ms=0.0, delay_ms=10.0):
        """Send requests to each host and deliver reports with a delay.

        ``demand_per_s`` holds the request rate of each host.
        """
        in_flight = []
        next_report_ms = start_ms
        self._due_requests = [0.0] * len(self.rate_limiters)
        now_ms = start_ms
        while now_ms < start_ms + duration_ms:
            now_ms += 5.0
            self._send_requests(demand_per_s, now_ms)
            if now_ms >= next_report_ms:
                next_report_ms += quota.USAGE_REPORT_INTERVAL_MS
                in_flight += self._send_reports(now_ms, delay_ms)
            for delivery in [item for item in in_flight if item[0] <= now_ms]:
                in_flight.remove(delivery)
                for rate_limiter in self.rate_limiters:
                    if rate_limiter is not delivery[1]:
                        rate_limiter.apply_usage_report(delivery[2], now_ms)

    def _send_requests(self, demand_per_s, now_ms):
        """Send the requests of one step of 5 ms to each host."""
        for index, rate_limiter in enumerate(self.rate_limiters):
            self._due_requests[index] += demand_per_s[index] * 0.005
            while self._due_requests[index] >= 1:
                self._due_requests[index] -= 1
                if rate_limiter.try_admit(_TEAM_ID, now_ms):
                    self.admitted_at_ms.append(now_ms)
                else:
                    self.refused_count += 1

    def _send_reports(self, now_ms, delay_ms):
        """Return reports to deliver as (arrival_ms, sender, report)."""
        deliveries = []
        for rate_limiter in self.rate_limiters:
            rate_limiter.deduct_unreported_usage(
                1 - self.unheard_host_count / len(self.rate_limiters), now_ms
            )
            report = rate_limiter.pop_usage_report()
            if report.teams and not self.unheard_host_count:
                deliveries.append((now_ms + delay_ms, rate_limiter, report))
        return deliveries

    def max_admitted_in_window(self):
        """Return the most requests admitted in any window of five seconds."""
        first, max_count = 0, 0
        for last, at_ms in enumerate(self.admitted_at_ms):
            while self.admitted_at_ms[first] <= at_ms - _WINDOW_MS:
                first += 1
            max_count = max(max_count, last - first + 1)
        return max_count


@settings(max_examples=25, deadline=None)
@given(
    st.lists(st.floats(0.0, 200.0), min_size=4, max_size=4),
    st.floats(5.0, 200.0),
)
def test_hosts_together_admit_at_most_the_limit(demand_per_s, delay_ms):
    fleet = SimulatedFleet(4)
    fleet.run(demand_per_s, 12_000, delay_ms=delay_ms)
    assert fleet.max_admitted_in_window() <= _max_requests_per_window()


def test_demand_below_the_rate_is_not_refused():
    fleet = SimulatedFleet(4)
    fleet.run([40.0, 5.0, 5.0, 5.0], 10_000)
    assert fleet.refused_count == 0


def test_four_hosts_without_reports_stay_within_the_limit():
    """Four hosts cut off from each other each admit a quarter of the rate."""
    fleet = SimulatedFleet(4)
    fleet.run([100.0] * 4, 3_000)
    fleet.admitted_at_ms.clear()
    fleet.unheard_host_count = 3
    fleet.run([100.0] * 4, 12_000, start_ms=3_000)
    assert fleet.max_admitted_in_window() <= _max_requests_per_window()


def test_sixteen_hosts_without_reports_stay_within_the_limit():
    """Sixteen hosts cut off from each other all get the team's requests."""
    fleet = SimulatedFleet(16)
    fleet.run([20.0] * 16, 3_000)
    fleet.unheard_host_count = 15
    fleet.run([20.0] * 16, 12_000, start_ms=3_000)
    assert fleet.max_admitted_in_window() <= _max_requests_per_window()


def test_restarted_hosts_do_not_admit_another_burst():
    fleet = SimulatedFleet(4)
    fleet.run([100.0] * 4, 4_000)
    restarted_fleet = SimulatedFleet(4, is_first_start=False)
    restarted_fleet.admitted_at_ms = fleet.admitted_at_ms
    for rate_limiter in restarted_fleet.rate_limiters:
        rate_limiter.update_teams([_make_team()], 5_000)
    restarted_fleet.run([100.0] * 4, 8_000, start_ms=5_000)
    assert (
        restarted_fleet.max_admitted_in_window() <= _max_requests_per_window()
    )


def test_lowered_limits_apply_at_once():
    fleet = SimulatedFleet(1)
    fleet.rate_limiters[0].update_teams([_make_team(5.0, 5.0)], 0.0)
    fleet.run([100.0], 10_000)
    assert len(fleet.admitted_at_ms) <= 10 * 5.0 * 1.05 + 5.0 * 1.05 + 1


def test_team_without_a_rate_limit_is_never_refused():
    rate_limiter = quota.TeamRateLimiter(True)
    rate_limiter.update_teams([_make_team(0.0, 0.0)], 0.0)
    assert all(rate_limiter.try_admit(_TEAM_ID, 1.0) for _ in range(1_000))


def test_refunded_token_can_be_used_on_all_hosts():
    """Guards against requests that didn't run using up a small team's rate.

    This happened when admitted requests were refused because no target had
    a free slot.
    """
    first, second = quota.TeamRateLimiter(True), quota.TeamRateLimiter(True)
    for rate_limiter in (first, second):
        rate_limiter.update_teams([_make_team(2.0, 5.0)], 0.0)
    while first.try_admit(_TEAM_ID, 0.0):
        pass
    second.apply_usage_report(first.pop_usage_report(), 0.0)
    assert not second.try_admit(_TEAM_ID, 0.0)
    first.refund_token(_TEAM_ID, 0.0)
    second.apply_usage_report(first.pop_usage_report(), 0.0)
    assert second.try_admit(_TEAM_ID, 0.0)
    assert first.try_admit(_TEAM_ID, 0.0)


def test_refunded_tokens_do_not_exceed_the_burst():
    rate_limiter = quota.TeamRateLimiter(True)
    rate_limiter.update_teams([_make_team(2.0, 5.0)], 0.0)
    for _ in range(50):
        rate_limiter.refund_token(_TEAM_ID, 0.0)
    admitted_count = 0
    while rate_limiter.try_admit(_TEAM_ID, 0.0):
        admitted_count += 1
    assert admitted_count <= 5
