"""A loan as its lender sees it."""

import dataclasses

from pomeloward import model

# How long a borrower may use lent tokens. Hosts fetch for 100 ms ahead; twice
# that leaves room for uneven demand, and a crash strands little.
LOAN_LIFETIME_MS = 200.0

# Identifies a loan: the borrowing host and its number of the question.
LoanKey = tuple[model.HostId, int]


@dataclasses.dataclass(slots=True)
class Loan:
    """Tokens at a host.

    ``kept`` is an upper bound of the tokens that the host may still use
    before ``ends_at_ms`` on the lender's clock.
    """

    granted: int
    kept: int
    ends_at_ms: float
    spent: int = 0
