"""Reads what targets announce about themselves in their answers."""

import collections.abc
import math

import eliot
import httpx

from pomeloward import balance
from pomeloward import dispatch
from pomeloward import model
from pomeloward.relay import httpconventions

# "Misdirected Request": another server has taken over the target's address.
MISDIRECTED_STATUS = 421
_PAUSE_STATUS = 503
_RETRY_AFTER_HEADER = b"retry-after"
_MAX_LOGGED_BYTES = 40
# Seconds or requests per second beyond this are not plausible.
_MAX_NUMBER = 1e9

# Called with what an answer of a target says of the target.
OnNotice = collections.abc.Callable[
    [model.TargetId, balance.TargetNotice], None
]


class NoticeReader:
    """Decodes the headers by which targets announce their state.

    Values that can't be read are logged and ignored.
    """

    def __init__(self, conventions: httpconventions.HttpConventions) -> None:
        self._conventions = conventions

    def read(
        self,
        target_id: model.TargetId,
        response: httpx.Response,
        headers: dict[bytes, bytes],
    ) -> balance.TargetNotice:
        """Return the notice in an answer to the request of the target.

        ``headers`` are the response's with names in lower case. An answer of
        another server at the address says nothing of the target.
        """
        if response.status_code == MISDIRECTED_STATUS:
            return balance.TargetNotice()
        conventions = self._conventions
        limit_per_s = self._read_number(
            target_id,
            headers,
            conventions.rate_limit_header,
            "target:limit_unreadable",
        )
        names_limit = conventions.rate_limit_header in headers
        # Unsigned answers without a limit may come from something else than
        # the target, and end none that it named before.
        tells_rate_limit = limit_per_s is not None or (
            not names_limit and conventions.signature_header in headers
        )
        pause_s = None
        if response.status_code == _PAUSE_STATUS:
            pause_s = self._read_number(
                target_id,
                headers,
                _RETRY_AFTER_HEADER,
                "target:pause_unreadable",
            )
        return balance.TargetNotice(
            tells_rate_limit=tells_rate_limit,
            rate_limit_per_s=limit_per_s,
            is_leaving=headers.get(conventions.leaving_header, b"").strip()
            == b"1",
            pause_ms=(pause_s or 0.0) * 1_000,
            idle_ms=dispatch.announced_idle_ms(response.headers),
        )

    @staticmethod
    def _read_number(
        target_id: model.TargetId,
        headers: dict[bytes, bytes],
        name: bytes,
        message_type: str,
    ) -> float | None:
        """Return a number that is at least 0, None without a readable one."""
        text = headers.get(name)
        if text is None:
            return None
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if 0.0 <= number <= _MAX_NUMBER:
            return number
        eliot.log_message(
            message_type=message_type,
            target=target_id,
            text=text[:_MAX_LOGGED_BYTES].decode("latin-1"),
        )
        return None
