"""Messages that spread the configuration between hosts.

Changes travel as the bytes that the platform published. They hold digests of
keys, never keys.
"""

from pomeloward import model
from pomeloward import peer


class ChangePush(peer.Message, frozen=True, tag="change_push"):
    """A change that the sender has just accepted."""

    change: bytes


class VersionAsk(peer.Message, frozen=True, tag="version_ask"):
    """A starting host asks which version is in force."""


class VersionAnswer(peer.Message, frozen=True, tag="version_answer"):
    """The version in force at the sender; 0 means none yet."""

    version: model.Version


class ChangesAsk(peer.Message, frozen=True, tag="changes_ask"):
    """Asks for the changes that follow a version."""

    after: model.Version


class ChangesAnswer(peer.Message, frozen=True, tag="changes_answer"):
    """Changes in order, as many as fit one message.

    ``is_gap`` tells that the sender no longer has them, so that the asker
    needs a snapshot.
    """

    version: model.Version
    changes: tuple[bytes, ...] = ()
    is_gap: bool = False


class PageAsk(peer.Message, frozen=True, tag="page_ask"):
    """Asks for a page of a snapshot; version 0 asks for the newest."""

    version: model.Version
    page: int


class PageAnswer(peer.Message, frozen=True, tag="page_answer"):
    """A page of a snapshot; ``pages`` is 0 when it is not available."""

    version: model.Version
    page: int
    pages: int = 0
    payload: bytes = b""
