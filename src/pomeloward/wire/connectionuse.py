"""Names one use of a connection, for log lines."""

import dataclasses

# Name of the trace event before the first byte of a request.
SEND_STARTED = "http11.send_request_headers.started"


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionUse:
    """A request on a connection.

    ``local_port`` identifies the connection on both of its sides, and
    ``request_number`` is 1 for the first request on it.
    """

    local_port: int
    request_number: int

    def __str__(self) -> str:
        return f"connection {self.local_port} request {self.request_number}"
