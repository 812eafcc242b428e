"""Memory of connections and their pings."""

from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward.peer import dialer

# A ping has a header, a mask and a random payload of 4 bytes (RFC 6455).
_PING_BYTES = 10
_PONG_BYTES = 6


def measure(run: runs.Run) -> list[row.Row]:
    """Return the row of connections; loans lead to every host of a region."""
    dialed = size.REGION_HOSTS - 1
    pings = dialed / dialer.PING_INTERVAL_S
    messages_per_s = 2 * pings
    bytes_per_s = pings * (_PING_BYTES + _PONG_BYTES)
    return [
        row.Row(
            row.Role.EVERY,
            f"connections, {dialed:.0f} dialed and as many accepted",
            "one websocket in each direction, ping each 5 s",
            state_mb=run.transport.connection_mb.slope * dialed,
            messages_per_s=messages_per_s,
            bytes_per_s=bytes_per_s,
            core_ratio=run.transport.core_ratio(messages_per_s, bytes_per_s),
            error_ratio=run.transport.connection_mb.error_ratio,
            change="send asks and tells over a connection that the peer "
            "dialed",
        )
    ]
