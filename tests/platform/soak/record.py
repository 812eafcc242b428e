"""What callers and servers saw, and the checks over it."""

import collections
import dataclasses
import typing

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
# From a host's first refusal with a pause until its requests count, and how
# many it may send until the end of the pause.
_PAUSE_KNOWN_S = 0.5
_PAUSE_REQUESTS = 2
# Crashes under a request until it is stopped, and further ones by hosts that
# haven't heard of them.
_DEADLY_CRASHES = 3
# How often hosts that are cut off from servers serve, by how often others do.
_CUT_SERVED_RATIO = 2 / 3
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


class Arrival(typing.NamedTuple):
    """One request at a server, and the address of the host it came from."""

    request: str
    server: str
    at_s: float
    sender: str


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
        # Lists of server, and start and end of the time in which it says
        # that it is leaving.
        self.leaving = []
        # Lists of server, length of the pauses that it asks for, and start
        # and end of the time in which it does.
        self.pauses = []
        # The path of each deadly request, and its arrival.
        self.crashes = []
        # Lists of the addresses of hosts that were cut off from all servers,
        # and start and end of the cut.
        self.cuts = []
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
            self._leaving,
            self._pause,
            self._deadly,
            self._path,
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

    def _is_held_up(self, sender, at_s):
        """Return whether a request may have waited in a broken link."""
        return any(
            sender in addresses and start <= at_s <= end + _CALM_S
            for addresses, start, end in self.cuts
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
        for name, server, at_s, sender in self.arrivals:
            one = self.requests.get(name)
            since_s = self.draining.get(server)
            if one is None or since_s is None:
                continue
            if self._is_held_up(sender, at_s):
                continue
            if at_s > since_s + _DRAIN_S + _SLACK_S and all(
                self._in_touch(host, since_s, at_s)
                for host in (one.host, sender)
            ):
                yield f"drain: {name} at {server} {at_s - since_s:.2f} s later"

    def _zone(self):
        for name, server, at_s, sender in self.arrivals:
            one = self.requests.get(name)
            if self._is_held_up(sender, at_s):
                continue
            for zone, from_s, until_s in self.zones_out:
                is_in = from_s + _ZONE_S + _SLACK_S < at_s < until_s
                if one is None or not is_in or not server.startswith(zone):
                    continue
                if all(
                    self._in_touch(host, from_s, at_s)
                    for host in (one.host, sender)
                ):
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
        for name, at_server, at_s, sender in self.arrivals:
            if name not in self.requests or at_server != server:
                continue
            if self._is_held_up(sender, at_s):
                continue
            if not from_s <= at_s <= until_s:
                continue
            told_s.setdefault(sender, at_s + _LIMIT_KNOWN_S)
            if at_s >= told_s[sender] and self._in_touch(sender, from_s, at_s):
                counted.append(at_s)
        return counted

    def _leaving(self):
        for server, from_s, until_s in self.leaving:
            for arrival, first_s in self._after_first(server, from_s, until_s):
                one = self.requests.get(arrival.request)
                bound_s = first_s + _SLACK_S + _DRAIN_S
                if one is not None and one.sent_s > bound_s:
                    yield (
                        f"leaving: {one.id} at {server} from {arrival.sender}"
                        f" {arrival.at_s - first_s:.2f} s later"
                    )

    def _pause(self):
        for server, pause_s, from_s, until_s in self.pauses:
            counts = collections.Counter()
            for arrival, first_s in self._after_first(server, from_s, until_s):
                if self._is_held_up(arrival.sender, arrival.at_s):
                    continue
                if arrival.at_s - first_s - _SLACK_S > _PAUSE_KNOWN_S and (
                    arrival.at_s - first_s < pause_s
                ):
                    counts[arrival.sender] += 1
            for sender, count in counts.items():
                if count > _PAUSE_REQUESTS:
                    yield f"pause: {count} at {server} from {sender}"

    def _after_first(self, server, from_s, until_s):
        """Return arrivals at a server after the first one of their host.

        Each has the time of the first one. A host that was disturbed since
        may have forgotten what it was told.
        """
        first_s = {}
        found = []
        for arrival in self.arrivals:
            if arrival.server != server or not (
                from_s <= arrival.at_s <= until_s
            ):
                continue
            if arrival.sender not in first_s and self._is_held_up(
                arrival.sender, arrival.at_s
            ):
                continue  # The answer may not have come back.
            since_s = first_s.setdefault(arrival.sender, arrival.at_s)
            if not any(
                since_s <= end and start <= arrival.at_s
                for start, end in self.disturbed[arrival.sender]
            ):
                found.append((arrival, since_s))
        return found

    def _deadly(self):
        arrivals = collections.defaultdict(list)
        for path, arrival in self.crashes:
            arrivals[path].append(arrival)
        for path, crashes in arrivals.items():
            if len(crashes) < _DEADLY_CRASHES:
                continue
            third_s = crashes[_DEADLY_CRASHES - 1].at_s
            late = [
                one
                for one in crashes
                if one.at_s > third_s + _CALM_S + _SLACK_S
                and self._in_touch(one.sender, third_s, one.at_s)
                and not self._is_held_up(one.sender, one.at_s)
            ]
            if len(late) > _DEADLY_CRASHES:
                yield f"deadly: {path} reached {len(late)} servers more"

    def _path(self):
        for addresses, from_s, until_s in self.cuts:
            served, failed = collections.Counter(), collections.Counter()
            for one in self.requests.values():
                if from_s + _CALM_S < one.sent_s < until_s and (
                    self._in_touch(one.host, from_s, one.ended_s)
                ):
                    is_cut = one.host in addresses
                    (served if one.status == 200 else failed)[is_cut] += 1
            cut_count = served[True] + failed[True]
            other_count = served[False] + failed[False]
            if not cut_count or not other_count:
                continue
            least = _CUT_SERVED_RATIO * served[False] / other_count
            allowed = 10 + (cut_count + other_count) / 50
            if served[True] / cut_count < least and failed[True] > allowed:
                yield f"path: {served[True]} of {cut_count} at cut hosts"

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
