"""Tests of the line in front of a service."""

from pomeloward import requestqueue


def _ticket(priority=1, arrived_ms=0.0, aim_ms=500.0, end_ms=2_000.0):
    return requestqueue.QueuedRequest(
        priority, arrived_ms + aim_ms, arrived_ms + end_ms, 100.0
    )


def test_urgent_request_goes_first():
    line = requestqueue.RequestQueue()
    later, urgent = _ticket(2), _ticket(0, 10.0)
    line.add(later)
    line.add(urgent)
    assert line.requests_in_order(20.0) == [urgent, later]


def test_late_request_goes_after_one_that_can_be_in_time():
    line = requestqueue.RequestQueue()
    late, fresh = _ticket(0, 0.0), _ticket(2, 600.0)
    line.add(late)
    line.add(fresh)
    assert line.requests_in_order(650.0) == [fresh, late]


def test_request_that_cannot_be_in_time_is_not_admitted():
    line = requestqueue.RequestQueue()
    for _ in range(40):
        line.add(_ticket())
    assert not line.can_admit(_ticket(), 2, 0.0)
    assert line.can_admit(_ticket(), 20, 0.0)


def test_urgent_request_is_admitted_before_a_full_line():
    line = requestqueue.RequestQueue()
    for _ in range(40):
        line.add(_ticket(2))
    assert line.can_admit(_ticket(0), 2, 0.0)


def test_requests_that_lost_slots_push_back_are_overdue():
    line = requestqueue.RequestQueue()
    tickets = [_ticket(2) for _ in range(40)]
    for ticket in tickets:
        line.add(ticket)
    assert not line.requests_to_refuse(10, 0.0)
    # With five slots 21 meet their objective, and two may be late.
    assert line.requests_to_refuse(5, 0.0) == tickets[23:]
    assert line.requests_to_refuse(1, 0.0) == tickets[6:]


def test_urgent_request_is_not_overdue_behind_others():
    line = requestqueue.RequestQueue()
    for _ in range(40):
        line.add(_ticket(2))
    urgent = _ticket(0)
    line.add(urgent)
    assert urgent not in line.requests_to_refuse(1, 0.0)


def test_nothing_is_admitted_without_slots():
    assert not requestqueue.RequestQueue().can_admit(_ticket(), 0, 0.0)


def test_burst_serves_the_urgent_within_their_objective():
    """A burst of twice the capacity for a second, on four slots.

    Guards against a line in the order of arrival, in which all requests are
    late once the burst is longer than the objective.
    """
    line = requestqueue.RequestQueue()
    served, refused, free_ms = [], 0, [0.0] * 4
    for number in range(80):
        now_ms = number * 12.5
        _serve(line, served, free_ms, now_ms)
        ticket = _ticket(number % 3, now_ms)
        if line.can_admit(ticket, 4, now_ms):
            line.add(ticket)
        else:
            refused += 1
    for now_ms in range(1_000, 4_000, 10):
        _serve(line, served, free_ms, now_ms)
    in_aim = [
        ticket
        for ticket, start_ms in served
        if start_ms + ticket.expected_run_ms <= ticket.objective_at_ms
    ]
    urgent = [ticket for ticket in in_aim if ticket.priority == 0]
    assert len(urgent) >= 24
    assert len(in_aim) >= 0.6 * 80
    assert len(served) + refused == 80


def test_overload_refuses_at_once_and_not_after_a_long_wait():
    """Twice the capacity for ten seconds, urgent and less urgent mixed.

    Guards against a line that admits up to its deadline: urgent requests
    pushed others back, which were refused after most of their time.
    """
    line = requestqueue.RequestQueue()
    served, free_ms = [], [0.0] * 4
    arrived, held = {}, []
    for number in range(800):
        now_ms = number * 12.5
        _serve(line, served, free_ms, now_ms)
        for ticket in line.requests_to_refuse(4, now_ms):
            line.discard(ticket)
            held.append(now_ms - arrived[ticket])
        ticket = _ticket(number % 3, now_ms)
        arrived[ticket] = now_ms
        if line.can_admit(ticket, 4, now_ms):
            line.add(ticket)
    urgent = [one for one, _ in served if one.priority == 0]
    assert len(urgent) >= 0.98 * 800 / 3
    assert len(served) >= 0.95 * 400
    # One of four slots' requests waits past its objective of 500 ms.
    assert sum(one > 500 for one in held) <= 0.05 * 800
    assert max(held) <= 1_250


def _serve(line, served, free_ms, now_ms):
    for slot, at_ms in enumerate(free_ms):
        waiting = line.requests_in_order(now_ms)
        if at_ms <= now_ms and waiting:
            line.discard(waiting[0])
            served.append((waiting[0], now_ms))
            free_ms[slot] = now_ms + waiting[0].expected_run_ms
