"""What all connections of one host share."""

import dataclasses

import anyio
import eliot

from pomeloward import model
from pomeloward.peer import directory
from pomeloward.peer import dispatcher
from pomeloward.peer import identity
from pomeloward.peer import link
from pomeloward.peer import message
from pomeloward.peer import outbox
from pomeloward.peer import pending
from pomeloward.peer import traffic
from pomeloward.peer import wireformat

# A notice or answer that has waited this long for a connection is stale;
# asks are bounded by their own timeout.
NOTICE_LIFETIME_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class Node:
    """The identity, secret, counters and open questions of a host."""

    own: identity.Identity
    secret: bytes = dataclasses.field(repr=False)
    directory: directory.Directory
    link: link.Link
    traffic: traffic.Traffic
    pending: pending.Pending
    dispatcher: dispatcher.Dispatcher

    def enqueue(
        self,
        queue: outbox.Outbox,
        host: model.HostId,
        kind: wireformat.EnvelopeKind,
        ask_id: int,
        content: message.Message | None,
        lifetime_ms: float = NOTICE_LIFETIME_MS,
    ) -> bool:
        """Put a message into an outbox; returns False if it was dropped."""
        tag = "" if content is None else message.wire_tag(type(content))
        delay_ms = self.link.delay_ms(self.own.host, host)
        if delay_ms is None:
            self.traffic.dropped(tag)
            # A message that the network loses is not refused by the sender.
            return True
        now_ms = anyio.current_time() * 1000
        try:
            encoded = wireformat.encode_envelope(kind, ask_id, content)
        except model.PeerProtocolError as error:
            eliot.log_message(message_type="peer:oversize", reason=str(error))
            self.traffic.dropped(tag)
            return False
        due_ms = now_ms + delay_ms
        item = outbox.Item(tag, encoded, due_ms, due_ms + lifetime_ms, ask_id)
        accepted = queue.put(item, now_ms)
        if not accepted:
            self.traffic.dropped(tag)
        return accepted
