"""Which hosts of a region read the platform."""

import collections.abc
import random

from pomeloward import model
from pomeloward.origin import rendezvous

READER_COUNT = 3
# The readers and six standbys. They are spread over the zones, so that the
# loss of two of three zones leaves three of them.
CANDIDATE_COUNT = 9
SILENCE_MS = 3_000.0
# A later standby waits longer, so that one failure starts one standby.
STANDBY_STEP_MS = 1_000.0
JITTER_MS = 500.0
ASK_INTERVAL_MS = 1_000.0
# A watch ends after 10 s without a change; a reader whose last success is
# older than this has lost the platform.
FRESH_READ_MS = 15_000.0


class ReaderChoice:
    """Decides whether this host reads, from the silence of those before it.

    A candidate reads while fewer than ``READER_COUNT`` candidates with a
    better rank are known to read. Two hosts may overlap for a while, which
    costs reads but no safety: versions decide what is accepted.
    """

    def __init__(
        self, own: model.HostId, rng: random.Random, now_ms: float
    ) -> None:
        self._own = own
        self._rng = rng
        self._before: tuple[model.HostId, ...] = ()
        self._is_candidate = False
        self._heard_ms: dict[model.HostId, float] = {}
        self._patience_ms = SILENCE_MS
        self._read_ms = now_ms

    def on_hosts(
        self,
        region: model.RegionId,
        zone_of: collections.abc.Mapping[model.HostId, model.ZoneId],
        now_ms: float,
    ) -> None:
        """Take the hosts of the region, without leaving ones."""
        order = rendezvous.ranked_over_zones(f"reader/{region}", zone_of)
        candidates = order[:CANDIDATE_COUNT]
        self._is_candidate = self._own in candidates
        rank = candidates.index(self._own) if self._is_candidate else 0
        self._before = tuple(candidates[:rank])
        # A host that was not heard yet gets the whole patience.
        self._heard_ms = {
            host: self._heard_ms.get(host, now_ms) for host in self._before
        }
        standby = max(0, rank - READER_COUNT)
        self._patience_ms = (
            SILENCE_MS
            + standby * STANDBY_STEP_MS
            + self._rng.uniform(0, JITTER_MS)
        )

    def questions(self) -> tuple[model.HostId, ...]:
        """Return the hosts to ask, every ``ASK_INTERVAL_MS``."""
        return self._before if len(self._before) >= READER_COUNT else ()

    def on_answer(
        self, host: model.HostId, is_reading: bool, asked_at_ms: float
    ) -> None:
        """Take a host's answer to a question sent at ``asked_at_ms``."""
        if is_reading and host in self._heard_ms:
            self._heard_ms[host] = max(self._heard_ms[host], asked_at_ms)

    def on_read(self, now_ms: float) -> None:
        """Note that a read of the platform succeeded."""
        self._read_ms = now_ms

    def is_reading(self, now_ms: float) -> bool:
        """Tell whether this host reads and its reads succeed."""
        return self.is_reader(now_ms) and (
            now_ms - self._read_ms <= FRESH_READ_MS
        )

    def is_reader(self, now_ms: float) -> bool:
        """Tell whether this host should read the platform now."""
        live = sum(
            now_ms - heard_ms <= self._patience_ms
            for heard_ms in self._heard_ms.values()
        )
        return self._is_candidate and live < READER_COUNT
