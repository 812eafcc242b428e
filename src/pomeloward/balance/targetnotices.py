"""What targets announce about themselves in their answers."""

import collections
import dataclasses

from pomeloward import model
from pomeloward import replica

# A longer pause than this isn't plausible, and ends at this time.
MAX_PAUSE_MS = 600_000.0
_MAX_TARGETS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class TargetNotice:
    """What one answer of a target says of the target itself.

    ``tells_rate_limit`` tells whether the answer says how many requests per
    second the target takes, ``rate_limit_per_s`` is None if it takes any
    number. With ``is_leaving`` the target ends soon. It wants no requests of
    this host for ``pause_ms``, 0 without a pause. It closes connections that
    are idle for ``idle_ms``, None if it doesn't say.
    """

    tells_rate_limit: bool = False
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: float = 0.0
    idle_ms: float | None = None


@dataclasses.dataclass(slots=True)
class _Known:
    """What one start of a target has announced."""

    target: replica.Target
    is_leaving: bool = False
    paused_until_ms: float = float("-inf")


class TargetNotices:
    """Remembers which targets are leaving or pausing.

    Both hold for one start of a target, whatever the registry says of it
    meanwhile: its entry may be late, or come back from an older copy. They
    end when the target starts anew, the pause also with its time. Only this
    host is meant by a pause, and only hosts with such an answer have to know
    of the leaving, so neither is reported to others.

    Example::

        notices.record(target, TargetNotice(pause_ms=2_000.0), now_ms)
        notices.pause_ms(target, now_ms)  # 2000.0
    """

    def __init__(self) -> None:
        self._known: collections.OrderedDict[model.TargetId, _Known] = (
            collections.OrderedDict()
        )

    def record(
        self, target: replica.Target, notice: TargetNotice, now_ms: float
    ) -> bool:
        """Record a notice; return whether it says anything new."""
        if not notice.is_leaving and notice.pause_ms <= 0:
            return False
        known = self._find(target)
        if known is None:
            known = self._known[target.id] = _Known(target)
            self._known.move_to_end(target.id)
            if len(self._known) > _MAX_TARGETS:
                self._known.popitem(last=False)
        paused_until_ms = now_ms + min(notice.pause_ms, MAX_PAUSE_MS)
        has_news = paused_until_ms > max(now_ms, known.paused_until_ms) or (
            notice.is_leaving and not known.is_leaving
        )
        known.is_leaving |= notice.is_leaving
        known.paused_until_ms = max(known.paused_until_ms, paused_until_ms)
        return has_news

    def is_leaving(self, target: replica.Target) -> bool:
        """Return whether this start of a target said that it is leaving."""
        known = self._find(target)
        return known is not None and known.is_leaving

    def pause_ms(self, target: replica.Target, now_ms: float) -> float:
        """Return how long a target still wants no requests, 0 if it does."""
        known = self._find(target)
        if known is None:
            return 0.0
        return max(0.0, known.paused_until_ms - now_ms)

    def _find(self, target: replica.Target) -> _Known | None:
        """Return what this start of a target announced, None if nothing."""
        known = self._known.get(target.id)
        if known is None or target.has_restarted_since(known.target):
            return None
        return known
