"""Decides when a host that shuts down gracefully may exit."""

# Callers keep a host's address for two seconds, some three times as long.
# The latter are refused by the closed port and look up addresses again.
MIN_DRAIN_MS = 3_000.0
# After ``MIN_DRAIN_MS`` a host exits once it had no open requests for this
# long.
IDLE_BEFORE_EXIT_MS = 400.0
# Time that is left for the process to exit by itself before it is killed.
_EXIT_RESERVE_MS = 350.0
# Time in which the refusals of requests that wait reach their callers.
_REFUSAL_RESERVE_MS = 250.0


class ShutdownSchedule:
    """The deadlines of one graceful shutdown.

    By ``latest_exit_ms`` the host exits, whatever is still open. From
    ``refuse_waiting_ms`` on it refuses the requests that no target has got
    yet: they have not run, which their callers should hear before the exit.
    """

    def __init__(self, started_ms: float, kill_after_ms: float) -> None:
        self._earliest_exit_ms = started_ms + MIN_DRAIN_MS
        self.latest_exit_ms = started_ms + kill_after_ms - _EXIT_RESERVE_MS
        self.refuse_waiting_ms = self.latest_exit_ms - _REFUSAL_RESERVE_MS

    def should_exit(self, is_idle: bool, now_ms: float) -> bool:
        """Tell whether the host should exit now.

        ``is_idle`` tells that it had no open requests for a while.
        """
        return now_ms >= self.latest_exit_ms or (
            now_ms >= self._earliest_exit_ms and is_idle
        )

    def refuses_long_requests(self, now_ms: float) -> bool:
        """Tell whether to refuse requests that may not end before the exit.

        At first they are taken: most end soon, and callers still come by
        addresses from before.
        """
        return now_ms >= self._earliest_exit_ms
