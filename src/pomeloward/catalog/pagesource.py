"""Serves the pages of snapshots to peers."""

from pomeloward import model
from pomeloward.catalog import configuration
from pomeloward.catalog import messages
from pomeloward.catalog import pages

# A transfer takes seconds; a version is kept this long after its last page.
KEEP_MS = 30_000.0
MAX_KEPT = 4


class PageSource:
    """Keeps versions that are being transferred, although newer are in force.

    Versions share unchanged shards, so that keeping one costs little.
    """

    def __init__(self) -> None:
        self._kept: dict[
            model.Version, tuple[configuration.Configuration, int, float]
        ] = {}

    def answer(
        self,
        question: messages.PageAsk,
        current: configuration.Configuration,
        now_ms: float,
    ) -> messages.PageAnswer:
        """Return the page, or one with ``pages`` 0 when it is not kept."""
        version = question.version or current.version
        kept = self._kept.get(version)
        if kept is None and version == current.version and version > 0:
            kept = (current, pages.page_count(current), now_ms)
        if kept is None or not 0 <= question.page < kept[1]:
            return messages.PageAnswer(version=version, page=question.page)
        view, count, _ = kept
        self._kept[version] = (view, count, now_ms)
        self._expire(now_ms)
        return messages.PageAnswer(
            version=version,
            page=question.page,
            pages=count,
            payload=pages.encode_page(view, question.page, count),
        )

    def _expire(self, now_ms: float) -> None:
        by_age = sorted(self._kept, key=lambda each: -self._kept[each][2])
        self._kept = {
            version: self._kept[version]
            for version in by_age[:MAX_KEPT]
            if now_ms - self._kept[version][2] <= KEEP_MS
        }
