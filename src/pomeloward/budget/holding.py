"""A loan as its borrower sees it."""

import dataclasses

from pomeloward import model
from pomeloward.budget import messages
from pomeloward.budget import place


@dataclasses.dataclass(slots=True)
class Holding:
    """Tokens of one loan at a host.

    ``kept`` tokens may still be spent while ``permission`` is valid. A
    holding with ``is_reported`` false has totals that its lender has not
    been told.
    """

    number: int
    source: place.Place
    permission: model.Lease
    kept: int
    spent: int = 0
    is_reported: bool = True

    def spend(self, now_ms: float) -> bool:
        """Spend one token if the loan still holds."""
        if not self.kept or not self.permission.is_valid(now_ms):
            return False
        self.kept -= 1
        self.spent += 1
        self.is_reported = False
        return True

    def give_back(self) -> None:
        """Keep nothing, so that the next report returns the rest."""
        self.is_reported = self.is_reported and not self.kept
        self.kept = 0

    def report(self) -> messages.LoanReport:
        """Make a report; it may be lost, since totals are told."""
        self.is_reported = True
        return messages.LoanReport(self.number, self.spent, self.kept)
