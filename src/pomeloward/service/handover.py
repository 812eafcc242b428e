"""State that a controller hands to its successor."""

import collections.abc

import msgspec

from pomeloward import model
from pomeloward.service import ledger as ledger_
from pomeloward.service import targetrecord
from pomeloward.service import targetstate


class HandedTarget(msgspec.Struct, frozen=True, array_like=True):
    """State of a target; times are how long they lie ahead."""

    id: model.TargetId
    state: int
    level: int
    adopted: int
    ejections: int
    until_in_ms: float


class HandedLoan(msgspec.Struct, frozen=True, array_like=True):
    """Slots of a host; times are how long they lie ahead."""

    host: model.HostId
    slots: dict[model.TargetId, int]
    until_in_ms: float
    end_in_ms: float


class Handover(msgspec.Struct, frozen=True):
    """Targets and loans of a controller that no longer lends.

    Times are relative, since clocks differ; the time of the transfer makes
    them later at the successor, and drift is added.
    """

    targets: tuple[HandedTarget, ...]
    loans: tuple[HandedLoan, ...]

    @classmethod
    def of(
        cls,
        records: collections.abc.Iterable[targetrecord.TargetRecord],
        ledger: ledger_.Ledger,
        now_ms: float,
    ) -> "Handover":
        """Describe the state at a time."""
        return cls(
            tuple(
                HandedTarget(
                    record.id,
                    record.state.value,
                    record.level,
                    record.adopted,
                    record.ejections,
                    record.until_ms - now_ms,
                )
                for record in records
            ),
            tuple(
                HandedLoan(host, dict(slots), until - now_ms, end - now_ms)
                for host, slots, until, end in ledger.entries()
            ),
        )

    def restore(
        self,
        records: collections.abc.Iterable[targetrecord.TargetRecord],
        ledger: ledger_.Ledger,
        now_ms: float,
    ) -> None:
        """Take over; targets that the predecessor did not know start cold."""
        drift = 1 + model.MAX_DRIFT_RATIO
        handed = {target.id: target for target in self.targets}
        for record in records:
            target = handed.get(record.id)
            if record.state.is_excluded:
                continue
            if target is None:
                record.fall(now_ms)
                continue
            state = targetstate.TargetState(target.state)
            if state.is_excluded:
                state = targetstate.TargetState.COLD
            record.change(state, now_ms)
            record.level = target.level
            record.adopted = target.adopted
            record.ejections = target.ejections
            record.until_ms = now_ms + target.until_in_ms
        for loan in self.loans:
            ledger.restore(
                loan.host,
                loan.slots,
                now_ms + loan.until_in_ms * drift,
                now_ms + loan.end_in_ms * drift,
            )
