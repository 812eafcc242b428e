"""Logs and counts bytes on connections that belong to no request."""

import eliot

from pomeloward import model
from pomeloward import observability
from pomeloward import wire

_MAX_QUOTED_BYTES = 80


class StrayLog:
    """Writes a line for stray bytes, with the answer that they look like.

    ``pomeloward_stray_bytes_total`` counts the findings, not the bytes, if
    there are ``metrics``. ``request_id_header`` is in lower case, and None
    where answers have no id.
    """

    def __init__(
        self,
        request_id_header: bytes | None = None,
        metrics: observability.Metrics | None = None,
    ) -> None:
        self._request_id_header = request_id_header
        self._metrics = metrics

    def record(
        self, server_id: model.TargetId, stray: wire.StrayBytes
    ) -> None:
        """Log and count stray bytes from a target, a host or the store."""
        if self._metrics is not None:
            self._metrics.increment(
                "pomeloward_stray_bytes_total", (("place", stray.place.value),)
            )
        request_id = b""
        if self._request_id_header is not None:
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
