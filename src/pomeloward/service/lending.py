"""Chooses the slots that one host gets."""

import collections.abc
import random

from pomeloward import model
from pomeloward.service import ledger as ledger_
from pomeloward.service import targetrecord
from pomeloward.service import targetstate

Records = collections.abc.Sequence[targetrecord.TargetRecord]
Shares = collections.abc.Mapping[model.SiteId, float]


class Lending:
    """Slots of targets that are free, spread over sites and targets."""

    def __init__(
        self,
        records: Records,
        ledger: ledger_.Ledger,
        shares: Shares,
        suspects: frozenset[model.TargetId] = frozenset(),
    ) -> None:
        self._suspects = suspects
        self._records = records
        self._shares = shares
        self._caps: dict[model.TargetId, int] = {}
        self._used: dict[model.TargetId, int] = {}
        for record in records:
            is_warm = record.state is targetstate.TargetState.WARM
            count = ledger.live if is_warm else ledger.count
            self._caps[record.id] = record.cap()
            self._used[record.id] = count(record.id)
        self._sites: dict[model.SiteId, int] = {}
        if shares:
            for record in records:
                site = record.target.site
                used = self._used[record.id]
                self._sites[site] = self._sites.get(site, 0) + used

    def free(self) -> int:
        """Return the slots that could be lent now."""
        return sum(
            max(0, cap - self._used[target])
            for target, cap in self._caps.items()
        )

    def choose(
        self,
        held: ledger_.Slots,
        avoided: frozenset[model.TargetId],
        goal: int,
        rng: random.Random,
    ) -> dict[model.TargetId, int]:
        """Return the slots a host may use, near to ``goal`` in all.

        Slots above a target's cap, and those of avoided targets, are taken
        back first.
        """
        grants = {}
        for target, count in held.items():
            cap = self._caps.get(target, 0)
            over = max(0, self._used.get(target, 0) - cap)
            is_out = cap == 0 or target in avoided
            grants[target] = 0 if is_out else max(0, count - over)
        self._drop_suspects(grants, avoided)
        total = sum(grants.values())
        while total > goal:
            target = max(grants, key=lambda target: grants[target])
            grants[target] -= 1
            total -= 1
        if total < goal:
            self._add(grants, avoided, goal - total, rng)
        return {target: count for target, count in grants.items() if count}

    def _drop_suspects(
        self,
        grants: dict[model.TargetId, int],
        avoided: frozenset[model.TargetId],
    ) -> None:
        """Take back slots of suspects that others can replace."""
        replaceable = sum(
            max(0, self._caps[record.id] - self._used[record.id])
            for record in self._records
            if record.id not in avoided and record.id not in self._suspects
        )
        for target in sorted(self._suspects & grants.keys()):
            dropped = min(grants[target], replaceable)
            grants[target] -= dropped
            replaceable -= dropped

    def _add(
        self,
        grants: dict[model.TargetId, int],
        avoided: frozenset[model.TargetId],
        count: int,
        rng: random.Random,
    ) -> None:
        open_ = [
            record
            for record in self._records
            if self._caps[record.id] > self._used[record.id]
            and record.id not in avoided
        ]
        rng.shuffle(open_)
        for _ in range(count):
            if not open_:
                return
            best = min(open_, key=self._load)
            grants[best.id] = grants.get(best.id, 0) + 1
            self._used[best.id] += 1
            if self._shares:
                self._sites[best.target.site] += 1
            if self._used[best.id] >= self._caps[best.id]:
                open_.remove(best)

    def _load(
        self, record: targetrecord.TargetRecord
    ) -> tuple[bool, float, float]:
        site_load = 0.0
        if self._shares:
            site = record.target.site
            share = self._shares.get(site, 0.0)
            site_load = (self._sites[site] + 1) / max(share, 1e-9)
        is_suspect = record.id in self._suspects
        return (
            is_suspect,
            site_load,
            self._used[record.id] / self._caps[record.id],
        )
