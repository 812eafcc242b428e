"""The client of the platform's store."""

import base64
import binascii
import typing

import anyio
import eliot
import httpx
import msgspec

from pomeloward import model
from pomeloward import replica
from pomeloward import settings
from pomeloward.platform import configuration
from pomeloward.platform import targetentry

_CONFIGURATION = "op/config"
_ZONES_OUT = "op/evacuate/"
_TARGETS = "servers/"
_PREFIXES = ("op/", _TARGETS)
# The store answers in 4 ms, or a quarter of a second when it is slow; a
# connection that is silent for longer is given up.
TIMEOUT_MS = 700.0
# A watch of this length returns at once what happened since the last one.
_WATCH_MS = 1
_MAX_PAGES = 100


class _Item(msgspec.Struct, rename="kebab"):
    key: str
    # The revision of the last change of the key.
    revision: int
    # Base64; left out in the event of a removal.
    value: str = ""
    deleted: bool = False


class _Page(msgspec.Struct, rename="kebab"):
    # The revision of the whole store.
    current_rev: int
    items: list[_Item] = []
    has_more: bool = False


class _Events(msgspec.Struct, rename="kebab"):
    current_rev: int
    events: list[_Item] = []


_PAGE = msgspec.json.Decoder(_Page)
_EVENTS = msgspec.json.Decoder(_Events)
_T = typing.TypeVar("_T")


class HttpStoreClient:
    """Reads configuration, zones out of service and targets.

    Entries that cannot be read are left out, with a log line each time.
    """

    def __init__(self, endpoint: settings.Endpoint) -> None:
        self._url = f"http://{endpoint.ip_address}:{endpoint.port}"
        self._client: httpx.AsyncClient | None = None

    async def read_snapshot(self) -> replica.ReadResult:
        """Read everything; raises ``PlatformUnavailable``."""
        revision: int | None = None
        items: list[_Item] = []
        for prefix in _PREFIXES:
            after = ""
            for _ in range(_MAX_PAGES):
                query = {"prefix": prefix}
                if after:
                    query["after"] = after
                page = await self._get("/kv-range", query, _PAGE)
                if revision is None:
                    revision = page.current_rev
                items.extend(page.items)
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
        return replica.ReadResult(
            revision or 0, _changes(items), is_snapshot=True
        )

    async def read_changes_after(self, revision: int) -> replica.ReadResult:
        """Read the changes after a revision.

        Raises ``HistoryGone`` and ``PlatformUnavailable``.
        """
        query = {
            "prefix": "",
            "after": str(revision),
            "wait-ms": str(_WATCH_MS),
        }
        found = await self._get("/kv-watch", query, _EVENTS)
        return replica.ReadResult(
            max(revision, found.current_rev),
            _changes(found.events),
            is_snapshot=False,
        )

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        decoder: msgspec.json.Decoder[_T],
    ) -> _T:
        if self._client is None:
            self._client = httpx.AsyncClient(trust_env=False, timeout=None)
        try:
            with anyio.fail_after(TIMEOUT_MS / 1_000):
                answer = await self._client.get(self._url + path, params=query)
        except (httpx.HTTPError, TimeoutError) as error:
            raise model.PlatformUnavailable(
                f"{path}: {type(error).__name__}"
            ) from error
        if answer.status_code == httpx.codes.GONE:
            raise replica.HistoryGone(f"{path} answered 410")
        if answer.status_code != httpx.codes.OK:
            raise model.PlatformUnavailable(
                f"{path} answered {answer.status_code}"
            )
        try:
            return decoder.decode(answer.content)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise model.PlatformUnavailable(f"{path}: {error}") from error


def _changes(items: list[_Item]) -> tuple[replica.Change, ...]:
    changes = []
    for item in items:
        change = _change(item)
        if change is not None:
            changes.append(change)
    return tuple(changes)


def _change(item: _Item) -> replica.Change | None:
    key = item.key
    if key.startswith(_TARGETS):
        target = model.TargetId(key[len(_TARGETS) :])
        if item.deleted:
            return replica.TargetRemoval(item.revision, target)
        return _target(item, target)
    if key.startswith(_ZONES_OUT):
        zone = model.ZoneId(key[len(_ZONES_OUT) :])
        return replica.ZoneChange(item.revision, zone, not item.deleted)
    if key == _CONFIGURATION and not item.deleted:
        return _policy(item)
    return None


def _target(item: _Item, target: model.TargetId) -> replica.Change:
    try:
        decoded = targetentry.decode_target_entry(target, _payload(item))
    except model.ConfigurationError as error:
        eliot.log_message(message_type="store:unreadable", reason=str(error))
        # Such an entry names no target to use.
        return replica.TargetRemoval(item.revision, target)
    return replica.TargetChange(item.revision, decoded)


def _policy(item: _Item) -> replica.Change | None:
    try:
        policy = configuration.decode_configuration(_payload(item))
    except model.ConfigurationError as error:
        eliot.log_message(message_type="store:unreadable", reason=str(error))
        return None
    return replica.PolicyChange(item.revision, policy)


def _payload(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise model.ConfigurationError(f"{item.key}: {error}") from error
