"""Logs and counts bytes on connections that belong to no request."""

import eliot

from pomeloward import model
from pomeloward import observability
from pomeloward import wire

_MAX_QUOTED_BYTES = 80


class StrayLog:
    """Writes a line for stray bytes, with the answer that they look like.

    ``pomeloward_stray_bytes_total`` counts the findings, not the bytes.

    ``request_id_header`` is in lower case.
    """

    def __init__(
        self, request_id_header: bytes, metrics: observability.Metrics
    ) -> None:
        self._request_id_header = request_id_header
        self._metrics = metrics

    def record(
        self, server_id: model.TargetId, stray: wire.StrayBytes
    ) -> None:
        """Log and count stray bytes from a target or host."""
        self._metrics.increment(
            "pomeloward_stray_bytes_total", (("place", stray.place.value),)
        )
        request_id = stray.find_header(self._request_id_header) or b""
        eliot.log_message(
            message_type="connection:stray_bytes",
            server=server_id,
            connection=stray.use.local_port,
            request_number=stray.use.request_number,
            place=stray.place.value,
            byte_count=stray.byte_count,
            status=stray.status,
            request=request_id[:_MAX_QUOTED_BYTES].decode("latin-1"),
            start=stray.start[:_MAX_QUOTED_BYTES].decode("latin-1"),
        )
