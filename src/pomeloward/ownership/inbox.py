"""States of partitions on their way to a successor."""

import dataclasses
import math

import cbor2
import msgspec

from pomeloward import model
from pomeloward.ownership import messages

# Well below the limit of a frame between hosts.
PART_BYTES = 512 * 1024
_MAX_PARTS = 64
# A state that is older than this is not used. It is shorter than a voter's
# silence, so that an owner in between, whom a voter could have forgotten
# by a restart, is still remembered by the voters that prove the predecessor.
STATE_LIFETIME_MS = 2_500.0


def split(
    region: model.RegionId, number: int, epoch: int, states: dict[str, bytes]
) -> list[messages.HandOver]:
    """Return the messages that carry the states to the successor."""
    encoded = cbor2.dumps(states)
    parts = math.ceil(len(encoded) / PART_BYTES)
    return [
        messages.HandOver(
            region=region,
            number=number,
            epoch=epoch,
            part=part,
            parts=parts,
            state=encoded[part * PART_BYTES : (part + 1) * PART_BYTES],
        )
        for part in range(parts)
    ]


@dataclasses.dataclass(slots=True)
class _Transfer:
    sender: model.HostId
    epoch: int
    parts: list[bytes]
    started_ms: float


class Inbox:
    """Collects the parts of states that predecessors hand over."""

    def __init__(self) -> None:
        self._transfers: dict[int, _Transfer] = {}

    def put(
        self, sender: model.HostId, part: messages.HandOver, now_ms: float
    ) -> bool:
        """Take one part; parts come in order. False refuses the state."""
        if part.part == 0 and 0 < part.parts <= _MAX_PARTS:
            self._transfers[part.number] = _Transfer(
                sender, part.epoch, [], now_ms
            )
        transfer = self._transfers.get(part.number)
        if transfer is None or len(transfer.parts) != part.part:
            return False
        if (transfer.sender, transfer.epoch) != (sender, part.epoch):
            return False
        transfer.parts.append(part.state)
        return True

    def take(
        self, number: int, previous_epoch: int, now_ms: float
    ) -> dict[str, bytes]:
        """Return the states of the owner directly before, or nothing.

        ``previous_epoch`` is the epoch before the successor's, as proven by
        the voters, or 0.
        """
        transfer = self._transfers.pop(number, None)
        if transfer is None or transfer.epoch != previous_epoch:
            return {}
        if now_ms >= transfer.started_ms + STATE_LIFETIME_MS:
            return {}
        try:
            states = cbor2.loads(b"".join(transfer.parts))
            return msgspec.convert(states, dict[str, bytes])
        except (cbor2.CBORError, msgspec.ValidationError):
            return {}
