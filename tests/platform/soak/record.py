"""What callers and servers saw, and the checks over it."""

import collections
import dataclasses

# The users' bounds.
_KEY_S = 2.0
_DRAIN_S = 2.0
_ZONE_S = 5.0
_CALM_S = 3.0
_SERVED_RATIO = 0.95
_PROMISES = (429, 503)
_LIMIT_WINDOW_S = 4.0
# From a host's first answer with a limit until its requests count.
_LIMIT_KNOWN_S = 0.5
# Between the store's answer and the note of it here, and between the
# sending and the arrival of a request.
_SLACK_S = 0.3


@dataclasses.dataclass
class Request:
    """One request of a caller."""

    id: str
    is_order: bool
    key: str
    path: str
    host: str
    sent_s: float
    status: int = 0
    body: str = ""
    ended_s: float = 0.0


class Record:
    """Collects while a seed runs."""

    def __init__(self):
        self.requests = {}
        self.runs = []
        self.arrivals = []
        self.disturbed = collections.defaultdict(list)
        self.withdrawn = {}
        self.draining = {}
        self.zones_out = []
        # Lists of server, limit per second, start and end of the limit.
        self.limits = []
        self.calm_from_s = float("inf")
        self.stalls = 0

    def disturb(self, host, from_s, until_s):
        """Note a time in which a host's bounds don't hold."""
        self.disturbed[host].append((from_s, until_s + _CALM_S))

    def violations(self):
        """Return a line for each broken promise."""
        checks = (
            self._once,
            self._own,
            self._truth,
            self._key,
            self._drain,
            self._zone,
            self._limit,
            self._newest,
            self._serves,
        )
        return [line for check in checks for line in check()]

    def calm_requests(self):
        """Return how many requests were sent since the faults ended."""
        return sum(
            one.sent_s >= self.calm_from_s for one in self.requests.values()
        )

    def _in_touch(self, host, since_s, until_s):
        return not any(
            start <= until_s and since_s <= end
            for start, end in self.disturbed[host] + self.disturbed["*"]
        )

    def _once(self):
        counts = collections.Counter(name for name, *_ in self.runs)
        for name, count in counts.items():
            request = self.requests.get(name)
            if request is not None and request.is_order and count > 1:
                yield f"once: order {name} ran {count} times"

    def _own(self):
        for one in self.requests.values():
            if one.status == 200 and not one.body.endswith(one.id):
                yield f"own: {one.id} got {one.body!r}"

    def _truth(self):
        ran = {name for name, *_ in self.runs}
        for one in self.requests.values():
            if one.is_order and one.status in _PROMISES and one.id in ran:
                yield f"truth: {one.id} got {one.status} and ran"

    def _key(self):
        for name, _, at_s in self.runs:
            one = self.requests.get(name)
            if one is None or one.key not in self.withdrawn:
                continue
            taken_s = self.withdrawn[one.key]
            if one.sent_s > taken_s + _KEY_S and self._in_touch(
                one.host, taken_s, at_s
            ):
                yield f"key: {name} ran at {at_s:.2f}, taken {taken_s:.2f}"

    def _drain(self):
        for name, server, at_s in self.arrivals:
            one = self.requests.get(name)
            since_s = self.draining.get(server)
            if one is None or since_s is None:
                continue
            if at_s > since_s + _DRAIN_S + _SLACK_S and self._in_touch(
                one.host, since_s, at_s
            ):
                yield f"drain: {name} at {server} {at_s - since_s:.2f} s later"

    def _zone(self):
        for name, server, at_s in self.arrivals:
            one = self.requests.get(name)
            for zone, from_s, until_s in self.zones_out:
                is_in = from_s + _ZONE_S + _SLACK_S < at_s < until_s
                if one is None or not is_in or not server.startswith(zone):
                    continue
                if self._in_touch(one.host, from_s, at_s):
                    yield f"zone: {name} at {server}"

    def _limit(self):
        for server, limit_per_s, from_s, until_s in self.limits:
            counted = self._told_arrivals(server, from_s, until_s)
            allowed = 1.5 * limit_per_s * _LIMIT_WINDOW_S + 5
            for end_s in counted:
                start_s = end_s - _LIMIT_WINDOW_S
                count = sum(start_s < one <= end_s for one in counted)
                if end_s >= from_s + _CALM_S and count > allowed:
                    yield f"limit: {count} at {server}, {allowed} allowed"
                    break

    def _told_arrivals(self, server, from_s, until_s):
        """Return when requests arrived from hosts that knew of a limit."""
        told_s = {}
        counted = []
        for name, at_server, at_s in self.arrivals:
            one = self.requests.get(name)
            if one is None or at_server != server:
                continue
            if not from_s <= at_s <= until_s:
                continue
            told_s.setdefault(one.host, at_s + _LIMIT_KNOWN_S)
            if at_s >= told_s[one.host] and self._in_touch(
                one.host, from_s, at_s
            ):
                counted.append(at_s)
        return counted

    def _newest(self):
        known = {}
        for one in sorted(self.requests.values(), key=lambda r: r.sent_s):
            if not one.path.startswith("/new/"):
                continue
            if one.status == 200:
                known.setdefault(one.host, one.ended_s)
            since_s = known.get(one.host)
            if one.status != 404 or since_s is None:
                continue
            if one.sent_s > since_s and self._in_touch(
                one.host, since_s, one.ended_s
            ):
                yield f"newest: {one.id} got 404 at {one.host}"

    def _serves(self):
        late = [
            one
            for one in self.requests.values()
            if one.sent_s >= self.calm_from_s and one.key not in self.withdrawn
        ]
        served = sum(one.status == 200 for one in late)
        if not late or served < _SERVED_RATIO * len(late):
            yield f"serves: {served} of {len(late)} after the faults"
