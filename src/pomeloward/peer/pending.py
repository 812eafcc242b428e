"""Questions that wait for their answers."""

import anyio

from pomeloward import model
from pomeloward.peer import message


class _Question:
    """One question; ``answer`` stays None when none will come."""

    __slots__ = ("answer", "done", "host")

    def __init__(self, host: model.HostId) -> None:
        self.host = host
        self.done = anyio.Event()
        self.answer: message.Message | None = None


class Pending:
    """The open questions of a host by their ids.

    An id is used once, and an answer counts only from the host that was
    asked, so late, duplicate and foreign answers are dropped.
    """

    def __init__(self) -> None:
        self._questions: dict[int, _Question] = {}
        self._last_id = 0

    def open(self, host: model.HostId) -> int:
        """Register a question and return its id."""
        self._last_id += 1
        self._questions[self._last_id] = _Question(host)
        return self._last_id

    async def wait(self, ask_id: int, timeout_ms: float) -> message.Message:
        """Wait for an answer; raises ``PeerUnavailable`` without one."""
        question = self._questions[ask_id]
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await question.done.wait()
        finally:
            self._questions.pop(ask_id, None)
        if question.answer is None:
            raise model.PeerUnavailable(f"no answer from {question.host}")
        return question.answer

    def resolve(
        self, host: model.HostId, ask_id: int, answer: message.Message | None
    ) -> bool:
        """Give a question its answer; False when it is not open."""
        question = self._questions.get(ask_id)
        if question is None or question.host != host:
            return False
        del self._questions[ask_id]
        question.answer = answer
        question.done.set()
        return True

    def fail_host(self, host: model.HostId) -> None:
        """End all questions to a host whose connection is gone."""
        for ask_id, question in list(self._questions.items()):
            if question.host == host:
                self.resolve(host, ask_id, None)
