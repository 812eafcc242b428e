"""Order ids that owners issue."""

import base64
import dataclasses
import hashlib
import hmac

import msgspec

from pomeloward import model
from pomeloward.orders import messages

_PREFIX = "o1."
_MAC_BYTES = 16


class _Content(msgspec.Struct, frozen=True, array_like=True):
    partition: model.PartitionId
    term: messages.Term
    birth_ms: int
    random: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OrderId:
    """A checked id.

    ``name`` depends on the content only, so that two spellings of an id are
    one order.
    """

    name: bytes
    partition: model.PartitionId
    issued: messages.Issued


class OrderIds:
    """Makes and checks ids under the secret of the fleet.

    An id is readable by its team but cannot be made by it: a team that
    chose term or birth could make a forgotten order look new. The MAC is
    HMAC-SHA-256 (RFC 2104) cut to 128 bits, over the team and the content.
    """

    def __init__(self, secret: bytes) -> None:
        """Derive a key of its own from the secret."""
        self._key = hmac.digest(secret, b"pomeloward order ids", "sha256")

    def make(
        self,
        partition: model.PartitionId,
        team: model.TeamId,
        issued: messages.Issued,
        random_part: bytes,
    ) -> str:
        """Return a new id."""
        content = msgspec.msgpack.encode(
            _Content(partition, issued.term, issued.birth_ms, random_part)
        )
        raw = self._mac(team, content) + content
        return _PREFIX + base64.urlsafe_b64encode(raw).decode().rstrip("=")

    def parse(self, team: model.TeamId, text: str) -> OrderId | None:
        """Return the id, or None if it was not issued to the team."""
        encoded = text.removeprefix(_PREFIX)
        try:
            raw = base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4))
        except ValueError:
            return None
        mac, content = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(team, content)):
            return None
        found = msgspec.msgpack.decode(content, type=_Content)
        name = hashlib.sha256(content).digest()[:_MAC_BYTES]
        return OrderId(
            name, found.partition, messages.Issued(found.term, found.birth_ms)
        )

    def _mac(self, team: model.TeamId, content: bytes) -> bytes:
        scope = hashlib.sha256(team.encode()).digest()
        return hmac.digest(self._key, scope + content, "sha256")[:_MAC_BYTES]


def is_issued(text: str) -> bool:
    """Tell whether a key has the form of an issued id."""
    return text.startswith(_PREFIX)
