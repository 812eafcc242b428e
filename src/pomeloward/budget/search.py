"""One search for tokens over the portions of a team."""

import collections.abc

from pomeloward import model
from pomeloward.budget import borrower
from pomeloward.budget import messages
from pomeloward.budget import place

_RETRY_UNAVAILABLE_MS = 1_000.0


class Search:
    """Asks one portion after another until enough tokens are at hand.

    The caller takes a question from ``next_question``, asks ``source`` and
    reports back by ``on_tokens`` or ``on_timeout``, until no question is
    left. Portions that said when they will have a token again are not asked
    before that.
    """

    def __init__(
        self,
        tokens: borrower.Borrower,
        places: collections.abc.Iterable[place.Place],
    ) -> None:
        """Begin a search over places in the order to ask."""
        self._tokens = tokens
        self._places = iter(places)
        self._retry_after_ms: list[float] = []
        self._is_reachable = True
        self._number = 0
        self._found = 0
        self.source: place.Place | None = None

    def next_question(
        self, need: int, now_ms: float
    ) -> messages.TakeTokens | None:
        """Return the next question, or None when the search has ended."""
        for source in self._places:
            if self._found >= need:
                return None
            wait_ms = self._tokens.retry_after_ms(source, now_ms)
            if not self._tokens.is_reachable(source, now_ms):
                self._is_reachable = False
            elif wait_ms > 0:
                self._retry_after_ms.append(wait_ms)
            else:
                self.source = source
                question = self._tokens.ask(source, need - self._found, now_ms)
                self._number = question.number
                return question
        return None

    def on_tokens(self, answer: messages.Tokens, now_ms: float) -> None:
        """Take in the answer to the last question."""
        self._found += self._tokens.on_tokens(answer, now_ms)
        if not answer.is_owner:
            self._is_reachable = False
        elif not answer.granted:
            self._retry_after_ms.append(answer.retry_after_ms)

    def on_timeout(self, now_ms: float) -> None:
        """Give up the last question."""
        self._tokens.on_timeout(self._number, now_ms)
        self._is_reachable = False

    def cancel(self) -> None:
        """Give up the search; the last question may be open."""
        self._tokens.cancel(self._number)

    def refusal(self) -> model.Refusal:
        """Return the refusal for a request that found no token."""
        if self._is_reachable and self._retry_after_ms:
            return model.Refusal(
                model.ErrorKind.RATE_EXCEEDED,
                "The team is over its rate.",
                min(self._retry_after_ms),
            )
        return model.Refusal(
            model.ErrorKind.BUDGET_UNAVAILABLE,
            "Not every part of the team's rate could be asked.",
            min([_RETRY_UNAVAILABLE_MS, *self._retry_after_ms]),
        )
