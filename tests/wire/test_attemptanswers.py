"""Tests of attempts of pomeloward-host behind a late second answer."""

import ssl
import types

import httpx
import pytest

from pomeloward import wire
from pomeloward.dispatch import attempt as attempts
from pomeloward.dispatch import link as links
from tests.wire import scriptedserver

pytestmark = pytest.mark.anyio


class _Body:
    async def chunks(self):
        for chunk in ():
            yield chunk


def _request(request_id):
    return types.SimpleNamespace(
        id=request_id,
        method="GET",
        target_path=b"/",
        headers=[
            (b"host", b"a"),
            (b"pomeloward-request-id", request_id.encode()),
        ],
        body=_Body(),
        deadline_ms=1e12,
        may_send=lambda now_ms: True,
        evidence=types.SimpleNamespace(mark_sent=lambda: None),
    )


def _answer(request_id):
    return scriptedserver.answer(request_id).replace(
        b"X-Request-Id", b"Pomeloward-Request-Id"
    )


async def test_success_of_a_former_request_is_none_of_the_next():
    """A caller got the answer to another request."""
    server = scriptedserver.ScriptedServer(
        [_answer("q1")], [_answer("q1"), 0.01, _answer("q2")]
    )
    hold = types.SimpleNamespace(is_valid=lambda now_ms: True)
    async with server.running():
        transport = wire.Transport(
            4,
            wire.ConnectionSettings(
                "127.0.0.1",
                ssl.create_default_context(),
                30.0,
                lambda stray: None,
            ),
        )
        link = links.Link(
            f"http://127.0.0.1:{server.port}/", transport, 0.0, 30_000.0
        )
        for request_id in ("q1", "q2"):
            attempt = attempts.Attempt(
                _request(request_id), hold, link, 250.0, 1_000.0
            )
            if request_id == "q2":
                with pytest.raises(httpx.RemoteProtocolError):
                    await attempt.run()
                break
            response = await attempt.run()
            await response.aread()
            await response.aclose()
