"""Notes which requests of which hosts reach a server, and when."""

import anyio


class Arrivals:
    """Notes when each host sent a request to a server, and lets it answer."""

    def __init__(self, behave):
        self.at_s = {}
        self._behave = behave

    async def __call__(self, server, stream, request, headers):
        host = stream.extra(anyio.abc.SocketAttribute.remote_address)[0]
        self.at_s.setdefault(host, []).append(anyio.current_time())
        await self._behave(server, stream, request, headers)

    def count_between(self, start_s, end_s):
        """Count requests so long after the first one of their host."""
        return sum(
            start_s < at_s - arrivals_s[0] < end_s
            for arrivals_s in self.at_s.values()
            for at_s in arrivals_s
        )
