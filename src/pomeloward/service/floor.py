"""The floor: how much capacity ejection has to leave in place."""

import collections.abc

from pomeloward.service import targetrecord
from pomeloward.service import targetstate

_STATE = targetstate.TargetState

Records = collections.abc.Collection[targetrecord.TargetRecord]


def capacity(records: Records) -> int:
    """Return the slots of all configured targets."""
    return sum(record.slots for record in records)


def healthy(records: Records) -> int:
    """Return the slots of warm targets.

    Cold, ejected, leaving and excluded targets do not count.
    """
    return sum(
        record.slots for record in records if record.state is _STATE.WARM
    )


def serving(records: Records) -> int:
    """Return the slots of targets that get any requests."""
    return sum(record.slots for record in records if record.is_serving)


def may_eject(
    record: targetrecord.TargetRecord,
    records: Records,
    floor_ratio: float,
    avoided: int,
) -> bool:
    """Tell whether ejecting a target leaves the floor in place.

    ``avoided`` is the largest number of slots that any host may avoid by its
    own judgement meanwhile. A target that is not warm adds nothing to the
    healthy capacity, so what has to remain without it are serving slots.
    """
    if record.state is _STATE.WARM:
        left = healthy(records)
    else:
        left = serving(records)
    return left - record.slots - avoided >= floor_ratio * capacity(records)


def avoid_slots(records: Records, floor_ratio: float) -> int:
    """Return how many slots each host may avoid by its own judgement.

    A quarter of the room above the floor, but at least one target where the
    room allows it; the rest is left for ejections.
    """
    room = int(healthy(records) - floor_ratio * capacity(records))
    budget = _budget(records, room)
    return budget if budget <= room else 0


def most_avoid_slots(records: Records, floor_ratio: float) -> int:
    """Return the most slots that a predecessor may have let hosts avoid."""
    return _budget(records, int((1 - floor_ratio) * capacity(records)))


def _budget(records: Records, room: int) -> int:
    largest = max((record.slots for record in records), default=0)
    return max(largest, room // 4)
