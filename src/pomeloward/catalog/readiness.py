"""When a starting host may serve."""

import collections.abc

from pomeloward import model

# An older answer says too little about what its sender has now.
ANSWER_FRESH_MS = 5_000.0
ASK_INTERVAL_MS = 1_000.0


class Readiness:
    """Compares versions with contacts before the first request is served.

    A platform or a peer may be stale, so a host is ready only when more than
    half of its contacts have answered and none of them has a newer version.
    Answers of hosts that are starting themselves count, which lets a whole
    fleet start at once. Once ready, a host stays ready.
    """

    def __init__(self) -> None:
        self.is_ready = False
        self._answers: dict[model.HostId, tuple[float, model.Version]] = {}
        self._asked_ms: dict[model.HostId, float] = {}

    def questions(
        self,
        contacts: collections.abc.Iterable[model.HostId],
        now_ms: float,
    ) -> list[model.HostId]:
        """Return the contacts to ask now, and note that they are asked."""
        if self.is_ready:
            return []
        due = [
            host
            for host in contacts
            if now_ms - self._asked_ms.get(host, -ASK_INTERVAL_MS)
            >= ASK_INTERVAL_MS
        ]
        self._asked_ms.update((host, now_ms) for host in due)
        return due

    def on_answer(
        self, host: model.HostId, version: model.Version, asked_at_ms: float
    ) -> None:
        """Take the answer to a question that was sent at ``asked_at_ms``."""
        known = self._answers.get(host)
        if known is None or asked_at_ms >= known[0]:
            self._answers[host] = (asked_at_ms, version)

    def update(
        self,
        contacts: collections.abc.Collection[model.HostId],
        own_version: model.Version,
        now_ms: float,
    ) -> None:
        """Decide again after an answer or a new configuration."""
        fresh = {
            host: version
            for host, (asked_at_ms, version) in self._answers.items()
            if now_ms - asked_at_ms <= ANSWER_FRESH_MS
        }
        compared = sum(host in fresh for host in contacts)
        newest = max(fresh.values(), default=0)
        if (
            own_version > 0
            and own_version >= newest
            and (compared * 2 > len(contacts) or not contacts)
        ):
            self.is_ready = True
