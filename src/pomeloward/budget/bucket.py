"""The token bucket of one portion, with loans."""

import collections
import math

from pomeloward import model
from pomeloward.budget import loan
from pomeloward.budget import state

# Retry delay told where the bucket never refills.
_NEVER_MS = 60_000.0


class Bucket:
    """A token bucket that counts lent tokens against its burst.

    The sum of the level and of all tokens that hosts may still use never
    exceeds the burst. Tokens that are lent before a window and used in it
    are therefore part of the burst, and the requests of any window stay
    within burst + rate x time. Times are milliseconds of the lender's clock.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst_requests: float,
        refill_from_ms: float,
        now_ms: float,
    ) -> None:
        """Create a bucket that was empty at ``refill_from_ms``."""
        self._rate_per_s = rate_per_s
        self._burst = burst_requests
        self._level = 0.0
        self._outstanding = 0
        self._at_ms = refill_from_ms
        self._loans: dict[loan.LoanKey, loan.Loan] = {}
        self._ends: collections.deque[loan.LoanKey] = collections.deque()
        self.advance(now_ms)

    @property
    def level_requests(self) -> float:
        """Tokens that can be lent now."""
        return self._level

    @property
    def fill_percent(self) -> int:
        """What can be lent now, as a part of the burst."""
        return int(100 * self._level / max(self._burst, 1.0))

    @property
    def outstanding_requests(self) -> int:
        """Tokens that hosts may still use."""
        return self._outstanding

    @property
    def is_idle(self) -> bool:
        """Whether the bucket is full and has no loans.

        A bucket without burst is never idle: a new one in its place would
        be full as soon as a change gives it a burst.
        """
        return (
            self._burst >= 1 and not self._loans and self._level >= self._burst
        )

    def advance(self, now_ms: float) -> None:
        """Refill up to a time, and end loans in the order of their ends.

        A loan's tokens make room for refill only from its end on.
        """
        while self._ends:
            ended = self._loans[self._ends[0]]
            if ended.ends_at_ms > now_ms:
                break
            self._refill(ended.ends_at_ms)
            self._outstanding -= ended.kept
            del self._loans[self._ends.popleft()]
        self._refill(now_ms)

    def tune(
        self, rate_per_s: float, burst_requests: float, now_ms: float
    ) -> None:
        """Change rate and burst from now on and clip the level."""
        self.advance(now_ms)
        self._rate_per_s = rate_per_s
        self._burst = burst_requests
        room = max(0.0, burst_requests - self._outstanding)
        self._level = min(self._level, room)

    def lend(
        self, key: loan.LoanKey, need: int, extra: int, now_ms: float
    ) -> int:
        """Lend whole tokens and count them as used at once.

        ``need`` tokens are for waiting requests. ``extra`` tokens are for
        expected ones and come only out of half of what remains, so that
        hosts do not strand the last tokens. A repeated question gets the
        first answer again.
        """
        self.advance(now_ms)
        if key in self._loans:
            return self._loans[key].granted
        granted = min(need, int(self._level))
        granted += max(0, min(extra, int((self._level - granted) / 2)))
        if granted <= 0:
            return 0
        self._level -= granted
        ends_at_ms = model.outstanding_until_ms(now_ms, loan.LOAN_LIFETIME_MS)
        self._add(key, loan.Loan(granted, granted, ends_at_ms))
        return granted

    def report(
        self, key: loan.LoanKey, spent: int, kept: int, now_ms: float
    ) -> None:
        """Take in what a host spent and keeps; the rest returns.

        Both are totals of the loan, so repeated and late reports are
        harmless.
        """
        self.advance(now_ms)
        lent = self._loans.get(key)
        if lent is None:
            return
        before = lent.granted - lent.spent - lent.kept
        self._outstanding -= max(0, lent.kept - kept)
        lent.spent = max(lent.spent, spent)
        lent.kept = min(lent.kept, kept)
        returned = lent.granted - lent.spent - lent.kept - before
        room = max(0.0, self._burst - self._outstanding - self._level)
        self._level += max(0.0, min(returned, room))

    def retry_after_ms(self) -> float:
        """Return the time until the refill reaches a whole token."""
        if self._burst < 1 or self._rate_per_s <= 0:
            return _NEVER_MS
        missing = max(0.0, 1 - self._level)
        return min(_NEVER_MS, math.ceil(missing / self._rate_per_s * 1000))

    def export(self, now_ms: float) -> state.BucketState:
        """Describe level and loans, in times relative to now."""
        self.advance(now_ms)
        loans = tuple(
            state.LoanState(
                key[0],
                key[1],
                self._loans[key].granted,
                self._loans[key].spent,
                self._loans[key].kept,
                self._loans[key].ends_at_ms - now_ms,
            )
            for key in self._ends
        )
        return state.BucketState(
            self._level, max(0.0, self._at_ms - now_ms), loans
        )

    def restore(self, exported: state.BucketState, now_ms: float) -> None:
        """Replace level and loans by those of a predecessor."""
        self._at_ms = now_ms + exported.blocked_ms
        self._level = exported.level_requests
        for lent in exported.loans:
            ends_at_ms = model.outstanding_until_ms(now_ms, lent.remaining_ms)
            self._add(
                (lent.host, lent.number),
                loan.Loan(lent.granted, lent.kept, ends_at_ms, lent.spent),
            )
        self._level = max(
            0.0, min(self._level, self._burst - self._outstanding)
        )

    def _add(self, key: loan.LoanKey, lent: loan.Loan) -> None:
        self._loans[key] = lent
        self._ends.append(key)
        self._outstanding += lent.kept

    def _refill(self, until_ms: float) -> None:
        if until_ms <= self._at_ms:
            return
        room = max(0.0, self._burst - self._outstanding - self._level)
        minted = self._rate_per_s * (until_ms - self._at_ms) / 1000
        self._level += min(room, minted)
        self._at_ms = until_ms
