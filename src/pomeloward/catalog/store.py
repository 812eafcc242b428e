"""The configuration in force and the rule for its successor."""

import collections
import enum

from pomeloward import model
from pomeloward.catalog import change
from pomeloward.catalog import changelog
from pomeloward.catalog import configuration

# Changes that overtook their base wait here; a pull brings the others.
MAX_WAITING = 64


class Verdict(enum.Enum):
    """What became of an offered change."""

    ACCEPTED = "accepted"
    STALE = "stale"
    WAITING = "waiting"
    REJECTED = "rejected"


class Store:
    """Holds the accepted configuration; its version only grows.

    ``rejection`` is the reason of the last rejected change, for operators.
    """

    def __init__(self) -> None:
        self.current = configuration.Configuration.empty()
        self.log = changelog.ChangeLog()
        self.rejection = ""
        self._waiting: collections.OrderedDict[model.Version, bytes] = (
            collections.OrderedDict()
        )

    def offer(self, payload: bytes) -> tuple[Verdict, change.Change | None]:
        """Take a published change, from the platform or from a peer."""
        try:
            changed = change.decode_change(payload)
            if changed.version <= self.current.version:
                return Verdict.STALE, changed
            if changed.base > self.current.version:
                self._wait(changed, payload)
                return Verdict.WAITING, changed
            self.current = self.current.applied(changed)
        except model.ConfigurationError as error:
            self.rejection = str(error)
            return Verdict.REJECTED, None
        self.log.append(changed, payload)
        return Verdict.ACCEPTED, changed

    def next_waiting(self) -> bytes | None:
        """Return a waiting change whose base is now in force."""
        for version in [v for v in self._waiting if v < self.current.version]:
            del self._waiting[version]
        return self._waiting.pop(self.current.version, None)

    def replace(self, whole: configuration.Configuration) -> bool:
        """Take a configuration built from a snapshot, unless it is older."""
        if whole.version <= self.current.version:
            return False
        self.current = whole
        self.log.clear()
        return True

    def _wait(self, changed: change.Change, payload: bytes) -> None:
        self._waiting[changed.base] = payload
        if len(self._waiting) > MAX_WAITING:
            self._waiting.popitem(last=False)
