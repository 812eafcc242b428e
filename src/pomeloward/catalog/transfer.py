"""The transfer of a snapshot from one peer."""

from pomeloward import model
from pomeloward.catalog import messages


class Transfer:
    """Collects the pages of one version from one peer, in order."""

    def __init__(self, host: model.HostId) -> None:
        self.host = host
        self._version = model.Version(0)
        self._pages: list[bytes] = []

    def question(self) -> messages.PageAsk:
        """Return the question for the next page."""
        return messages.PageAsk(version=self._version, page=len(self._pages))

    def is_expected(self, answer: messages.PageAnswer) -> bool:
        """Tell whether an answer is the next page of this version."""
        return (
            answer.pages > 0
            and answer.page == len(self._pages)
            and self._version in (0, answer.version)
        )

    def on_page(self, answer: messages.PageAnswer) -> list[bytes] | None:
        """Take an expected page; returns all pages after the last one."""
        self._version = answer.version
        self._pages.append(answer.payload)
        if len(self._pages) < answer.pages:
            return None
        return self._pages
