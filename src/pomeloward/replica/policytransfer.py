"""Sends policies that don't fit in a message from host to host."""

import collections.abc
import re

import anyio
import eliot
import msgspec

from pomeloward import model
from pomeloward import peer
from pomeloward import policy as policies
from pomeloward.replica import change as changes
from pomeloward.replica import messages
from pomeloward.replica import replica as replicas

# A message holds this much of a policy beside other changes.
MAX_INLINE_BYTES = 512 * 1024
# Messages hold integers of 64 bits.
_MAX_INLINE_VERSION = 2**63 - 1
# A part takes 0.1 s on the slowest link, and heartbeats wait behind it.
_PART_BYTES = 64 * 1024
_PART_TIMEOUT_MS = 1_000.0
_MAX_POLICY_BYTES = 32 * 1024 * 1024
_VERSION_TEXT = re.compile(rf"[0-9]{{1,{model.MAX_VERSION_DIGITS}}}")

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(policies.Policy)

FetchedCallback = collections.abc.Callable[
    [changes.PolicyChange, model.HostId], None
]


class PolicyTransfer:
    """Offers policies to other hosts, and fetches those they offer.

    The receiver asks for one part after the other, so that the largest
    policy takes no more room in the sender's queues than a part of it.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        peers: peer.Peers,
        on_fetched: FetchedCallback,
    ) -> None:
        """Register the handlers of the messages with ``peers``.

        ``on_fetched`` is called with a fetched policy and its sender.
        """
        self._replica = replica
        self._peers = peers
        self._on_fetched = on_fetched
        self._encoded: tuple[policies.Policy, bytes] | None = None
        self._offers: dict[model.HostId, messages.PolicyOffer] = {}
        self._offer_received = anyio.Event()
        peers.register_handler(messages.PolicyOffer, self._handle_offer)
        peers.register_handler(
            messages.PolicyPartRequest, self._handle_part_request
        )

    def find_offer(self, change: changes.Change) -> peer.Message | None:
        """Return the offer of a change that must be sent in parts.

        Returns None for one that fits in a message.
        """
        if not isinstance(change, changes.PolicyChange):
            return None
        size_bytes = len(self._encode(change.policy))
        if (
            size_bytes <= MAX_INLINE_BYTES
            and change.policy.version <= _MAX_INLINE_VERSION
        ):
            return None
        return messages.PolicyOffer(
            revision=change.revision,
            version=str(change.policy.version),
            size_bytes=size_bytes,
        )

    async def run(self) -> None:
        """Fetch the newest offered policy, until cancelled."""
        while True:
            await self._offer_received.wait()
            self._offer_received = anyio.Event()
            while self._offers:
                host = max(
                    self._offers,
                    key=lambda host: int(self._offers[host].version),
                )
                await self._fetch(host, self._offers.pop(host))

    async def _fetch(
        self, host: model.HostId, offer: messages.PolicyOffer
    ) -> None:
        """Fetch a policy from a host unless it is known by now."""
        if not self._is_new(offer):
            return
        try:
            policy = await self._fetch_policy(host, offer)
        except (model.PeerUnavailable, model.PeerProtocolError) as error:
            eliot.log_message(
                message_type="replica:policy_fetch_failed",
                peer=host,
                reason=str(error),
            )
            return
        self._on_fetched(changes.PolicyChange(offer.revision, policy), host)

    async def _fetch_policy(
        self, host: model.HostId, offer: messages.PolicyOffer
    ) -> policies.Policy:
        """Return an offered policy.

        Raises ``PeerUnavailable`` if a part doesn't come, and
        ``PeerProtocolError`` if the parts are not a policy.
        """
        encoded = bytearray()
        while len(encoded) < offer.size_bytes:
            part = await self._peers.request(
                host,
                messages.PolicyPartRequest(
                    version=offer.version, offset_bytes=len(encoded)
                ),
                _PART_TIMEOUT_MS,
            )
            if (
                not isinstance(part, messages.PolicyPart)
                or part.version != offer.version
                or part.offset_bytes != len(encoded)
                or not part.content
            ):
                raise model.PeerProtocolError("another part was asked for")
            encoded += part.content
        try:
            policy = _DECODER.decode(encoded)
        except msgspec.MsgspecError as error:
            raise model.PeerProtocolError(f"policy: {error}") from error
        return msgspec.structs.replace(
            policy, version=model.Version(int(offer.version))
        )

    def _is_new(self, offer: messages.PolicyOffer) -> bool:
        """Return whether an offered policy is newer than the known one."""
        known = self._replica.policy
        return known is None or int(offer.version) > known.version

    def _handle_offer(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        if (
            isinstance(message, messages.PolicyOffer)
            and _VERSION_TEXT.fullmatch(message.version)
            and 0 < message.size_bytes <= _MAX_POLICY_BYTES
            and self._is_new(message)
        ):
            self._offers[host] = message
            self._offer_received.set()

    def _handle_part_request(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> peer.Message | None:
        """Return a part of the policy, None if another one is known now."""
        policy = self._replica.policy
        if (
            not isinstance(message, messages.PolicyPartRequest)
            or policy is None
            or message.version != str(policy.version)
            or message.offset_bytes < 0
        ):
            return None
        start = message.offset_bytes
        return messages.PolicyPart(
            version=message.version,
            offset_bytes=start,
            content=self._encode(policy)[start : start + _PART_BYTES],
        )

    def _encode(self, policy: policies.Policy) -> bytes:
        """Return an encoded policy, whose version the offer has instead."""
        if self._encoded is None or self._encoded[0] is not policy:
            unversioned = msgspec.structs.replace(
                policy, version=model.Version(0)
            )
            self._encoded = policy, _ENCODER.encode(unversioned)
        return self._encoded[1]
