"""State that all peer connections of one host share."""

import dataclasses

import anyio
import eliot

from pomeloward import model
from pomeloward.peer import addressresolver
from pomeloward.peer import faultinjection
from pomeloward.peer import identity
from pomeloward.peer import message
from pomeloward.peer import messagedispatcher
from pomeloward.peer import pendingrequests
from pomeloward.peer import sendqueue
from pomeloward.peer import trafficcounters
from pomeloward.peer import wireformat

# A notification or response that has waited this long for a connection is
# stale. A request expires after its own timeout instead.
UNSENT_MESSAGE_LIFETIME_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class ConnectionContext:
    """Identity, fleet secret, counters and pending requests of a host.

    ``is_stopping`` tells that the host ends by a planned stop.
    """

    own_identity: identity.Identity
    fleet_secret: bytes = dataclasses.field(repr=False)
    address_resolver: addressresolver.AddressResolver
    fault_injector: faultinjection.FaultInjector
    traffic_counters: trafficcounters.TrafficCounters
    pending_requests: pendingrequests.PendingRequests
    dispatcher: messagedispatcher.MessageDispatcher
    is_stopping: bool = False

    def try_enqueue(
        self,
        send_queue: sendqueue.SendQueue,
        peer_host: model.HostId,
        kind: wireformat.EnvelopeKind,
        correlation_id: int,
        content: message.Message | None,
        lifetime_ms: float = UNSENT_MESSAGE_LIFETIME_MS,
    ) -> bool:
        """Encode a message and add it to a send queue.

        Returns False if the message is too large or the queue is full.
        """
        message_tag = (
            "" if content is None else message.wire_tag(type(content))
        )
        delay_ms = self.fault_injector.message_delay_ms(
            self.own_identity.host, peer_host
        )
        if delay_ms is None:
            self.traffic_counters.count_dropped(message_tag)
            # A sender can't know that the network loses a message.
            return True
        now_ms = anyio.current_time() * 1000
        try:
            encoded = wireformat.encode_envelope(kind, correlation_id, content)
        except model.PeerProtocolError as error:
            eliot.log_message(message_type="peer:oversize", reason=str(error))
            self.traffic_counters.count_dropped(message_tag)
            return False
        due_at_ms = now_ms + delay_ms
        queued_message = sendqueue.QueuedMessage(
            message_tag,
            encoded,
            due_at_ms,
            due_at_ms + lifetime_ms,
            correlation_id,
        )
        is_accepted = send_queue.try_put(queued_message, now_ms)
        if not is_accepted:
            self.traffic_counters.count_dropped(message_tag)
        return is_accepted
