"""A stand-in for the platform's store, in memory."""

import base64
import json

import anyio

from standins import asgi


class Store:
    """Answers range and watch calls, with faults that tests switch on.

    ``is_away`` answers 503, ``is_silent`` never answers, and ``compact``
    forgets the history. ``restore`` goes back to the last ``keep_copy``.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.first = 0
        self.is_away = False
        self.is_silent = False
        self.calls = 0
        self.page_items = 500
        self.era = 1
        self.copy = None

    def put(self, key, value):
        payload = value if isinstance(value, bytes) else _encode(value)
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(payload).decode(),
            "revision": self.revision,
            "created-rev": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self.events.append(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def compact(self):
        self.events.clear()
        self.first = self.revision

    def keep_copy(self):
        self.copy = (self.revision, dict(self.items), list(self.events))

    def restore(self):
        """Lose what was written since the copy; revisions are reused."""
        revision, items, events = self.copy
        self.revision, self.items = revision, dict(items)
        self.events = list(events)
        self.era += 1

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.run_lifespan(receive, send)
            return
        self.calls += 1
        if self.is_silent:
            await anyio.sleep_forever()
        if self.is_away:
            await self._refuse(send, 503)
            return
        query = asgi.query(scope)
        if scope["path"] == "/kv-range":
            await self._range(query, send)
        elif scope["path"] == "/kv-watch":
            await self._watch(query, send)
        else:
            await self._refuse(send, 404)

    async def _range(self, query, send):
        prefix = query["prefix"].replace("%2F", "/")
        after = query.get("after", "").replace("%2F", "/")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = keys[: self.page_items]
        await asgi.answer_json(
            send,
            {
                "items": [self.items[key] for key in page],
                "has-more": len(keys) > len(page),
                "current-rev": self.revision,
            },
            headers=self._headers(),
        )

    async def _watch(self, query, send):
        after = int(query["after"])
        if not self.first <= after <= self.revision:
            await self._refuse(send, 410)
            return
        events = [e for e in self.events if e["revision"] > after]
        await asgi.answer_json(
            send,
            {"events": events, "current-rev": self.revision},
            headers=self._headers(),
        )

    async def _refuse(self, send, status):
        await asgi.answer(send, status, headers=self._headers())

    def _headers(self):
        return [("Store-Era", str(self.era))]


def _encode(value):
    return json.dumps(value).encode()
