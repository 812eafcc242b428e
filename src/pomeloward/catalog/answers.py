"""Answers peers' questions about the configuration."""

from pomeloward import peer
from pomeloward.catalog import messages
from pomeloward.catalog import pagesource
from pomeloward.catalog import store


class Answers:
    """Serves versions, changes and pages of a store."""

    def __init__(self, held: store.Store) -> None:
        self._store = held
        self._page_source = pagesource.PageSource()

    def answer(
        self, question: peer.Message, now_ms: float
    ) -> peer.Message | None:
        """Answer a peer's question; None where it is of another kind."""
        current = self._store.current
        match question:
            case messages.VersionAsk():
                return messages.VersionAnswer(version=current.version)
            case messages.ChangesAsk():
                found = self._store.log.after(question.after)
                return messages.ChangesAnswer(
                    version=current.version,
                    changes=found or (),
                    is_gap=found is None and question.after < current.version,
                )
            case messages.PageAsk():
                return self._page_source.answer(question, current, now_ms)
        return None
