"""The tokens of one team at one host."""

from pomeloward.budget import demand
from pomeloward.budget import fill
from pomeloward.budget import holding
from pomeloward.budget import messages
from pomeloward.budget import place

_Name = tuple[str, int]


class Wallet:
    """Holdings, recent demand and portions known to be empty."""

    def __init__(self) -> None:
        self.demand = demand.Demand()
        self.holdings: list[holding.Holding] = []
        self.empty_until_ms: dict[_Name, float] = {}
        self.fills: dict[_Name, fill.Fill] = {}

    def tokens(self, now_ms: float) -> int:
        """Return how many tokens can be spent now."""
        return sum(
            held.kept
            for held in self.holdings
            if held.permission.is_valid(now_ms)
        )

    def spend(self, now_ms: float) -> holding.Holding | None:
        """Spend one token, of the oldest loan first."""
        for held in self.holdings:
            if held.spend(now_ms):
                return held
        return None

    def give_back(self, now_ms: float, after_ms: float) -> list[place.Place]:
        """Keep no token that was idle for a time; returns the sources."""
        idle = [
            held
            for held in self.holdings
            if held.kept and now_ms - held.permission.asked_at_ms >= after_ms
        ]
        for held in idle:
            held.give_back()
        return list(dict.fromkeys(held.source for held in idle))

    def prune(self, now_ms: float) -> None:
        """Drop loans that have lapsed; nothing is left to tell of them."""
        self.holdings = [
            held
            for held in self.holdings
            if held.permission.is_valid(now_ms)
            and (held.kept or not held.is_reported)
        ]

    def reports(
        self, name: _Name, now_ms: float
    ) -> tuple[messages.LoanReport, ...]:
        """Make the reports that are due to the owner of a portion."""
        return tuple(
            held.report()
            for held in self.holdings
            if held.source.name == name
            and not held.is_reported
            and held.permission.is_valid(now_ms)
        )

    def is_unused(self, now_ms: float) -> bool:
        """Tell whether the wallet can be forgotten."""
        return not self.holdings and self.demand.per_s(now_ms) < 0.01
