"""Sends requests through another host that has a path to the targets."""

import collections.abc
import dataclasses

import anyio
import expression
import httpx
import msgspec

from pomeloward import dispatch
from pomeloward import entry
from pomeloward import model
from pomeloward import wire
from pomeloward.dispatch import outgoing
from pomeloward.relay import admittedrequest
from pomeloward.relay import errortext
from pomeloward.relay import forwarding
from pomeloward.relay import heldbytes
from pomeloward.relay import httpconventions
from pomeloward.relay import noticereader
from pomeloward.relay import requestbodystream
from pomeloward.relay import requestlogentry
from pomeloward.relay import responsereader
from pomeloward.relay import sendobserver

# Hosts that are tried for a request, and how often. Others may still be
# about to find out whether they have a path.
_MAX_PEERS = 3
_MAX_ROUNDS = 2
_ROUND_PAUSE_S = 0.1
_CONNECT_TIMEOUT_S = 0.25
_CONNECTIONS_PER_PEER = 64
_REFUSAL_STATUS = 503
# Refusals of a host that can't serve a request, while another one may.
_ELSEWHERE_KINDS = frozenset(
    {
        model.ErrorKind.NO_CAPACITY,
        model.ErrorKind.NO_TARGET_PATH,
        model.ErrorKind.HOST_STARTING,
        model.ErrorKind.HOST_DRAINING,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEndpoint:
    """Where another host takes requests from its peers."""

    id: model.TargetId
    url: str


class _RefusalBody(msgspec.Struct):
    kind: model.ErrorKind


class PeerRelay:
    """Sends requests to peers, which serve them like those of callers.

    A peer gets the digest of the caller's key instead of the key. It checks
    the request anew, and counts it for the rate of the caller's team.
    """

    def __init__(
        self,
        peer_links: dispatch.Links,
        conventions: httpconventions.HttpConventions,
        find_peers: collections.abc.Callable[
            [], collections.abc.Sequence[PeerEndpoint]
        ],
        on_notice: noticereader.OnNotice,
        held_bytes: heldbytes.HeldBytes,
    ) -> None:
        """Create a relay to the peers that ``find_peers`` returns.

        ``conventions`` are those between hosts. ``on_notice`` is called with
        what a target announces in an answer that a peer relays.
        ``held_bytes`` limits what is buffered of answers.
        """
        self._peer_links = peer_links
        self._conventions = conventions
        self._find_peers = find_peers
        self._on_notice = on_notice
        self._held_bytes = held_bytes
        self._notice_reader = noticereader.NoticeReader(conventions)

    async def try_forward(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult | None:
        """Return a peer's response, or a refusal if it may have run.

        Returns None if the request has certainly not run and no peer could
        serve it, or if there is no peer. A body that is no longer kept can't
        go to any.
        """
        if not request.body.can_replay or not self._find_peers():
            return None
        with anyio.CancelScope(deadline=request.deadline_ms / 1_000):
            forwarded = await self._try_peers(request, log_entry)
            if forwarded.is_ok():
                return forwarded
        if request.run_evidence.proof is not None:
            return None
        has_time = model.now_ms() < request.deadline_ms
        return expression.Error(
            model.Refusal(
                model.ErrorKind.TARGET_FAILED
                if has_time
                else model.ErrorKind.TARGET_TIMEOUT,
                "the request was relayed, and no response came back",
            )
        )

    async def _try_peers(
        self,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Return the first response of a peer, or why the last had none."""
        forwarded = _fail(model.ErrorKind.NO_TARGET_PATH)
        for round_number in range(_MAX_ROUNDS):
            if round_number:
                await anyio.sleep(_ROUND_PAUSE_S)
            may_find_path = False
            for peer in self._find_peers()[:_MAX_PEERS]:
                forwarded = await self._try_peer(peer, request, log_entry)
                if forwarded.is_ok() or not _may_try_again(request):
                    return forwarded
                may_find_path |= (
                    forwarded.error.kind is model.ErrorKind.NO_TARGET_PATH
                )
            if not may_find_path:
                break
        return forwarded

    async def _try_peer(
        self,
        peer: PeerEndpoint,
        request: admittedrequest.AdmittedRequest,
        log_entry: requestlogentry.RequestLogEntry,
    ) -> forwarding.ForwardResult:
        """Return a peer's response, or why it has none."""
        started_ms = model.now_ms()
        observer = sendobserver.SendObserver(request.run_evidence)
        detail = "cancelled"
        link = self._peer_links.find(peer) or self._peer_links.make(
            peer, _CONNECTIONS_PER_PEER, started_ms
        )
        link.enter(started_ms)
        try:
            response = await link.transport.handle_async_request(
                self._make_request(request, link.base, observer)
            )
            headers = {
                name.lower(): value for name, value in response.headers.raw
            }
            peer_response = await responsereader.read_response(
                request, response, self._held_bytes
            )
            detail = f"answered {peer_response.status}"
            peer_response.is_relayed = True
            self._read_notice(response, headers)
            peer_response.headers = [
                header
                for header in peer_response.headers
                if header[0] != httpconventions.ANSWERING_TARGET_HEADER
            ]
            refused_kind = _find_elsewhere_kind(
                peer_response.status, peer_response.body_start
            )
            if refused_kind is not None:
                request.run_evidence.prove_not_run(
                    model.NotRunProof(
                        model.NotRunReason.REFUSED_BY_CONTRACT, detail
                    )
                )
                await peer_response.aclose()
                return _fail(refused_kind)
            peer_response.hold_link(link)
            return expression.Ok(peer_response)
        except (httpx.HTTPError, entry.BodyNotReadable) as error:
            detail = errortext.describe(error)
            return _fail(model.ErrorKind.TARGET_FAILED)
        finally:
            now_ms = model.now_ms()
            link.leave(now_ms)
            if observer.connection_use is not None:
                detail += f" ({observer.connection_use})"
            log_entry.attempts.append(
                f"{peer.id} peer relayed {now_ms - started_ms:.0f}ms {detail}"
            )

    def _read_notice(
        self, response: httpx.Response, headers: dict[bytes, bytes]
    ) -> None:
        """Read what the target announces that answered through the peer."""
        name = headers.get(httpconventions.ANSWERING_TARGET_HEADER)
        if name is not None:
            target_id = model.TargetId(name.decode("latin-1"))
            notice = self._notice_reader.read(target_id, response, headers)
            self._on_notice(target_id, notice)

    def _make_request(
        self,
        request: admittedrequest.AdmittedRequest,
        base: httpx.URL,
        observer: sendobserver.SendObserver,
    ) -> httpx.Request:
        """Return the request for a peer, bounded by the caller of it."""
        conventions = self._conventions
        remaining_ms = max(1, int(request.deadline_ms - model.now_ms()))
        headers = [
            *request.headers,
            (conventions.request_id_header, request.id.encode("latin-1")),
            (conventions.timeout_ms_header, b"%d" % remaining_ms),
            (
                httpconventions.ATTEMPTS_LEFT_HEADER,
                b"%d" % request.attempts_left,
            ),
        ]
        if request.key_digest is not None:
            headers.append(
                (
                    httpconventions.KEY_DIGEST_HEADER,
                    request.key_digest.hex().encode("ascii"),
                )
            )
        timeouts_s = {
            "connect": _CONNECT_TIMEOUT_S,
            "pool": _CONNECT_TIMEOUT_S,
            "read": None,
            "write": None,
        }
        return outgoing.outgoing(
            request.method,
            base,
            request.path_and_query,
            headers,
            requestbodystream.RequestBodyStream(request.body),
            {
                "timeout": timeouts_s,
                "trace": observer.observe,
                wire.IDENTITY_EXTENSION: wire.RequestIdentity(
                    conventions.request_id_header,
                    request.id.encode("latin-1"),
                ),
            },
        )


def _may_try_again(request: admittedrequest.AdmittedRequest) -> bool:
    """Return whether another peer may get a request without a response."""
    may_repeat = request.can_repeat or request.run_evidence.proof is not None
    return may_repeat and request.body.can_replay and request.attempts_left > 0


def _fail(kind: model.ErrorKind) -> forwarding.ForwardResult:
    """Return the result of a relay without a response."""
    return expression.Error(model.Refusal(kind))


def _find_elsewhere_kind(status: int, body: bytes) -> model.ErrorKind | None:
    """Return why a peer refused what another one may serve, if it did.

    A peer sends no target's response with this status.
    """
    if status != _REFUSAL_STATUS:
        return None
    try:
        refusal = msgspec.json.decode(body, type=_RefusalBody)
    except msgspec.MsgspecError:
        return None
    return refusal.kind if refusal.kind in _ELSEWHERE_KINDS else None
