"""Reads and watches the platform's key-value store over HTTP."""

import base64
import binascii
import functools
import typing

import anyio
import eliot
import httpx
import msgspec

from pomeloward import dispatch
from pomeloward import model
from pomeloward import replica
from pomeloward import settings
from pomeloward import wire
from pomeloward.platform import configuration
from pomeloward.platform import targetentry

_CONFIGURATION_KEY = "op/config"
_ZONES_OUT_PREFIX = "op/evacuate/"
_TARGETS_PREFIX = "servers/"
_SNAPSHOT_PREFIXES = ("op/", _TARGETS_PREFIX)
# The store answers in 4 ms, or in 250 ms when it is slow; a connection that
# is silent for longer than this timeout is given up.
_SILENCE_TIMEOUT_S = 0.7
# A page with the largest value takes seconds on a host's slowest link.
_RESPONSE_TIMEOUT_S = 6.0
_MAX_CONNECTIONS = 4
_MAX_IDLE_S = 5.0
# The store's name in lines on its connections.
_STORE = model.TargetId("store")
_MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Larger numbers don't leave room for the store's own revision.
_MAX_ERA = 2**22
# A watch that waits only this long returns at once, with the changes that
# were made since the given revision.
_WATCH_WAIT_MS = 1
_MAX_PAGES_PER_PREFIX = 100
# Counts how often the store has come back from an older copy of itself.
_ERA_HEADER = "store-era"


class _Item(msgspec.Struct, rename="kebab"):
    """A key and its value, or an event that changed or removed them."""

    key: str
    # The store's revision at the last change of the key.
    revision: int
    # Base64; left out in the event of a removal.
    value: str = ""
    deleted: bool = False


class _RangeResponse(msgspec.Struct, rename="kebab"):
    """A page of the keys with a prefix."""

    # The revision of the whole store.
    current_rev: int
    items: list[_Item] = []
    has_more: bool = False


class _WatchResponse(msgspec.Struct, rename="kebab"):
    """The changes after a revision."""

    # The revision of the whole store.
    current_rev: int
    events: list[_Item] = []


_RANGE_DECODER = msgspec.json.Decoder(_RangeResponse)
_WATCH_DECODER = msgspec.json.Decoder(_WatchResponse)
_T = typing.TypeVar("_T")


class HttpStoreClient:
    """Reads configuration, zones out of service and targets.

    An invalid configuration is left out, and an invalid target counts as
    removed, with a log line each time.
    """

    def __init__(self, endpoint: settings.Endpoint) -> None:
        self._url = f"http://{endpoint.ip_address}:{endpoint.port}"
        self._client: httpx.AsyncClient | None = None
        self._stray_log = dispatch.StrayLog()

    async def read_snapshot(self) -> replica.ReadResult:
        """Return everything in the store, at the first page's revision.

        Raises ``PlatformUnavailable``, also when the store is restored
        between two pages.
        """
        revision: int | None = None
        era = 0
        items: list[_Item] = []
        for prefix in _SNAPSHOT_PREFIXES:
            last_key = ""
            for _ in range(_MAX_PAGES_PER_PREFIX):
                query = {"prefix": prefix}
                if last_key:
                    query["after"] = last_key
                page, page_era = await self._fetch(
                    "/kv-range", query, _RANGE_DECODER
                )
                if revision is None:
                    revision, era = page.current_rev, page_era
                elif page_era != era:
                    raise model.PlatformUnavailable(
                        f"store went from era {era} to {page_era} meanwhile"
                    )
                items.extend(page.items)
                if not page.has_more or not page.items:
                    break
                last_key = page.items[-1].key
        return replica.ReadResult(
            replica.make_revision(era, revision or 0),
            _decode_changes(items, era),
            is_snapshot=True,
        )

    async def read_changes_after(self, revision: int) -> replica.ReadResult:
        """Return the changes after a revision.

        Raises ``HistoryGone`` if the store no longer has all of them or has
        been restored, and ``PlatformUnavailable``.
        """
        query = {
            "prefix": "",
            "after": str(replica.number_of(revision)),
            "wait-ms": str(_WATCH_WAIT_MS),
        }
        response, era = await self._fetch("/kv-watch", query, _WATCH_DECODER)
        if era != replica.era_of(revision):
            # The store may have given out the revisions since its copy again.
            raise replica.HistoryGone(f"store is in era {era}")
        return replica.ReadResult(
            max(revision, replica.make_revision(era, response.current_rev)),
            _decode_changes(response.events, era),
            is_snapshot=False,
        )

    async def _fetch(
        self,
        path: str,
        query: dict[str, str],
        decoder: msgspec.json.Decoder[_T],
    ) -> tuple[_T, int]:
        """Return the decoded response to a GET request and the store's era."""
        try:
            with anyio.fail_after(_RESPONSE_TIMEOUT_S):
                response, body = await self._get(path, query)
        except (httpx.HTTPError, TimeoutError) as error:
            raise model.PlatformUnavailable(
                f"request to {path} failed: {type(error).__name__}"
            ) from error
        if response.status_code == httpx.codes.GONE:
            raise replica.HistoryGone(f"{path} returned status 410")
        if response.status_code != httpx.codes.OK:
            raise model.PlatformUnavailable(
                f"{path} returned status {response.status_code}"
            )
        try:
            era = int(response.headers.get(_ERA_HEADER, "0"))
            if not 0 <= era <= _MAX_ERA:
                raise ValueError(f"era {era} is out of range")
            return decoder.decode(body), era
        except (
            msgspec.MsgspecError,
            UnicodeError,
            RecursionError,
            ValueError,
        ) as error:
            raise model.PlatformUnavailable(
                f"invalid response from {path}: {error}"
            ) from error

    def _make_transport(self) -> wire.Transport:
        return wire.Transport(
            _MAX_CONNECTIONS,
            wire.ConnectionSettings(
                local_address=None,
                tls_context=None,
                max_idle_s=_MAX_IDLE_S,
                on_stray=functools.partial(self._stray_log.record, _STORE),
            ),
        )

    async def _get(
        self, path: str, query: dict[str, str]
    ) -> tuple[httpx.Response, bytes]:
        """Return the response to a GET request, and its body."""
        if self._client is None:
            self._client = httpx.AsyncClient(
                transport=self._make_transport(),
                trust_env=False,
                timeout=_SILENCE_TIMEOUT_S,
            )
        body = bytearray()
        async with self._client.stream(
            "GET", self._url + path, params=query
        ) as response:
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > _MAX_RESPONSE_BYTES:
                    raise model.PlatformUnavailable(
                        f"response to {path} is over {_MAX_RESPONSE_BYTES}"
                        " bytes"
                    )
        return response, bytes(body)


def _decode_changes(
    items: list[_Item], era: int
) -> tuple[replica.Change, ...]:
    changes = []
    for item in items:
        change = _decode_change(
            item, replica.make_revision(era, item.revision)
        )
        if change is not None:
            changes.append(change)
    return tuple(changes)


def _decode_change(item: _Item, revision: int) -> replica.Change | None:
    """Return the change that an item stands for.

    Returns None for other keys, a removed configuration or an invalid one.
    """
    key = item.key
    if key.startswith(_TARGETS_PREFIX):
        target_id = model.TargetId(key[len(_TARGETS_PREFIX) :])
        if item.deleted:
            return replica.TargetRemoval(revision, target_id)
        return _decode_target_change(item, revision, target_id)
    if key.startswith(_ZONES_OUT_PREFIX):
        zone = model.ZoneId(key[len(_ZONES_OUT_PREFIX) :])
        return replica.ZoneChange(revision, zone, not item.deleted)
    if key == _CONFIGURATION_KEY and not item.deleted:
        return _decode_policy_change(item, revision)
    return None


def _decode_target_change(
    item: _Item, revision: int, target_id: model.TargetId
) -> replica.Change:
    try:
        return targetentry.decode_target_entry(
            target_id, _decode_value(item), revision
        )
    except model.ConfigurationError as error:
        eliot.log_message(message_type="store:unreadable", reason=str(error))
        # An invalid entry gives no target that requests can be sent to.
        return replica.TargetRemoval(revision, target_id)


def _decode_policy_change(item: _Item, revision: int) -> replica.Change | None:
    """Return the new policy, or None if the configuration is invalid."""
    try:
        policy = configuration.decode_configuration(_decode_value(item))
    except model.ConfigurationError as error:
        eliot.log_message(message_type="store:unreadable", reason=str(error))
        return None
    return replica.PolicyChange(revision, policy)


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise model.ConfigurationError(
            f"value of {item.key}: {error}"
        ) from error
