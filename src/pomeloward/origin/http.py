"""The platform over HTTP."""

import collections.abc
import typing
import urllib.parse

import httpx
import msgspec

from pomeloward import model
from pomeloward.origin import hostentry
from pomeloward.origin import malformed
from pomeloward.origin import value

# The service answers in milliseconds; a slower one counts as away.
READ_TIMEOUT_MS = 2_000.0
VERSION_HEADER = "Value-Version"

_HOSTS = msgspec.json.Decoder(tuple[hostentry.HostEntry, ...])


class HttpPlatform:
    """Implements ``Platform`` by an ``httpx.AsyncClient``.

    The caller owns the client and closes it; ``url`` is the base address of
    the service without a trailing slash.
    """

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")

    async def read(self, name: str) -> value.Value | None:
        """Return a value, or None when there is none of this name."""
        status, found = await self._get(_path(name), {}, READ_TIMEOUT_MS)
        if status == httpx.codes.NOT_FOUND:
            return None
        return self._value(name, status, found)

    async def watch(
        self, name: str, after: int, wait_ms: float
    ) -> value.Value | None:
        """Return the value once its version is above ``after``."""
        query = {"after": str(after), "wait_ms": str(int(wait_ms))}
        status, found = await self._get(
            _path(name), query, wait_ms + READ_TIMEOUT_MS
        )
        if status in (httpx.codes.NO_CONTENT, httpx.codes.NOT_FOUND):
            return None
        return self._value(name, status, found)

    async def hosts(self) -> collections.abc.Sequence[hostentry.HostEntry]:
        """Return the host list."""
        status, found = await self._get("/hosts", {}, READ_TIMEOUT_MS)
        if status != httpx.codes.OK or found is None:
            raise model.PlatformUnavailable(f"/hosts answered {status}")
        try:
            return _HOSTS.decode(found.payload)
        except malformed.MALFORMED as error:
            raise model.PlatformUnavailable(
                f"/hosts is malformed: {error}"
            ) from error

    async def _get(
        self,
        path: str,
        query: collections.abc.Mapping[str, str],
        timeout_ms: float,
    ) -> tuple[int, value.Value | None]:
        """Return the status and, where it is 200, the value."""
        try:
            async with self._client.stream(
                "GET",
                self._url + path,
                params=query,
                timeout=timeout_ms / 1000,
            ) as answer:
                if answer.status_code != httpx.codes.OK:
                    return answer.status_code, None
                payload = await _bounded_body(answer)
                return answer.status_code, _with_version(answer, payload)
        except httpx.HTTPError as error:
            raise model.PlatformUnavailable(
                f"{path}: {type(error).__name__}: {error}"
            ) from error

    @staticmethod
    def _value(
        name: str, status: int, found: value.Value | None
    ) -> value.Value:
        if found is None:
            raise model.PlatformUnavailable(f"{name} answered {status}")
        return found


def _path(name: str) -> str:
    return f"/values/{urllib.parse.quote(name)}"


def _with_version(answer: httpx.Response, payload: bytes) -> value.Value:
    text = typing.cast("str", answer.headers.get(VERSION_HEADER, "0"))
    try:
        return value.Value(int(text), payload)
    except ValueError as error:
        raise model.PlatformUnavailable(
            f"{VERSION_HEADER} is {text!r}"
        ) from error


async def _bounded_body(answer: httpx.Response) -> bytes:
    parts = []
    total_bytes = 0
    async for part in answer.aiter_bytes():
        total_bytes += len(part)
        if total_bytes > value.MAX_VALUE_BYTES:
            raise model.PlatformUnavailable(
                f"value above {value.MAX_VALUE_BYTES} bytes"
            )
        parts.append(part)
    return b"".join(parts)
