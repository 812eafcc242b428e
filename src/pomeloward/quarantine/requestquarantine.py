"""Keeps requests that crash their targets from reaching more of them."""

import collections
import collections.abc

from pomeloward import model
from pomeloward.quarantine import messages
from pomeloward.quarantine import suspect as suspects

# Crashes under the same request after which it is quarantined. Fewer would
# also concern requests that ran beside such a one, twice by chance.
CRASH_LIMIT = 3
# Length of the first quarantine. After it one crash renews the quarantine,
# for a multiple of the time, up to the longest one.
QUARANTINE_MS = 300_000.0
_QUARANTINE_GROWTH_RATIO = 6.0
_MAX_QUARANTINE_MS = 86_400_000.0
# Interval of reports to hosts that may have started since.
REPORT_INTERVAL_MS = 2_000.0
# A report of the quarantine may be on its way when a target survives.
_SURVIVAL_LIFETIME_MS = 3 * REPORT_INTERVAL_MS
# Requests that are remembered, and those of one kind in a report.
_MAX_SUSPECTS = 4_096
_MAX_REPORTED = 128

OnChange = collections.abc.Callable[
    [model.RequestFingerprint, int, float], None
]


class RequestQuarantine:
    """Counts crashes of targets under equal requests, and refuses these.

    A target may have crashed under a request, or under another one that it
    ran beside it. Only a request under which targets crash again and again,
    while none ever runs it whole, is quarantined. Hosts report crashes to
    each other, since a repeated request may come to any of them.

    Example::

        quarantine.record_crash(fingerprint, started_at_ms, now_ms)
        if quarantine.remaining_ms(request.fingerprint, now_ms) > 0:
            ...  # refuse the request
    """

    def __init__(self, on_change: OnChange) -> None:
        """Create an empty quarantine.

        ``on_change`` is called with a request, its number of crashes and the
        remaining time when it is quarantined, and with 0 ms when a target
        has run it whole.
        """
        self._on_change = on_change
        self._suspects: collections.OrderedDict[
            model.RequestFingerprint, suspects.Suspect
        ] = collections.OrderedDict()
        self._survived_at_ms: collections.OrderedDict[
            model.RequestFingerprint, float
        ] = collections.OrderedDict()
        # Crashes that other hosts have to hear of, with their start and end.
        self._new_crashes: list[
            tuple[model.RequestFingerprint, float, float]
        ] = []
        self._new_survivals: list[model.RequestFingerprint] = []

    def remaining_ms(
        self, fingerprint: model.RequestFingerprint, now_ms: float
    ) -> float:
        """Return how long a request is still quarantined, 0 if it isn't."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.quarantined_until_ms - now_ms)

    def quarantined_count(self, now_ms: float) -> int:
        """Return the number of quarantined requests."""
        return sum(
            now_ms < suspect.quarantined_until_ms
            for suspect in self._suspects.values()
        )

    def record_crash(
        self,
        fingerprint: model.RequestFingerprint,
        started_at_ms: float,
        now_ms: float,
    ) -> None:
        """Count the crash of a target under a run of this host's request."""
        if self._add_crash(fingerprint, started_at_ms, now_ms, now_ms):
            self._new_crashes.append((fingerprint, started_at_ms, now_ms))
            del self._new_crashes[:-_MAX_REPORTED]

    def record_survival(
        self, fingerprint: model.RequestFingerprint, now_ms: float
    ) -> None:
        """Forget the crashes under a request that a target has run whole."""
        if fingerprint in self._suspects:
            self._forget(fingerprint, now_ms)
            self._new_survivals.append(fingerprint)
            del self._new_survivals[:-_MAX_REPORTED]

    def apply_report(
        self, report: messages.CrashReport, now_ms: float
    ) -> None:
        """Take over what another host knows."""
        for fingerprint in report.survived[:_MAX_REPORTED]:
            if fingerprint in self._suspects:
                self._forget(fingerprint, now_ms)
        for crash in report.crashes[:_MAX_REPORTED]:
            crashed_at_ms = now_ms - max(0, crash.age_ms)
            started_at_ms = crashed_at_ms - max(0, crash.run_ms)
            self._add_crash(
                crash.fingerprint, started_at_ms, crashed_at_ms, now_ms
            )
        for quarantined in report.quarantined[:_MAX_REPORTED]:
            survived_at_ms = self._survived_at_ms.get(
                quarantined.fingerprint, float("-inf")
            )
            if now_ms - survived_at_ms >= _SURVIVAL_LIFETIME_MS:
                suspect = self._suspect(quarantined.fingerprint)
                suspect.crash_count = max(suspect.crash_count, CRASH_LIMIT)
                self._quarantine_until(
                    quarantined.fingerprint,
                    now_ms + min(quarantined.remaining_ms, _MAX_QUARANTINE_MS),
                    now_ms,
                )

    @property
    def has_news(self) -> bool:
        """Whether other hosts haven't been told of everything yet."""
        return bool(self._new_crashes or self._new_survivals)

    def pop_news(self, now_ms: float) -> messages.CrashReport:
        """Return the crashes and survivals since the last call."""
        report = messages.CrashReport(
            crashes=tuple(
                messages.TargetCrash(
                    fingerprint,
                    int(crashed_at_ms - started_at_ms),
                    int(now_ms - crashed_at_ms),
                )
                for fingerprint, started_at_ms, crashed_at_ms in (
                    self._new_crashes
                )
            ),
            survived=tuple(self._new_survivals),
        )
        self._new_crashes.clear()
        self._new_survivals.clear()
        return report

    def quarantined(
        self, now_ms: float
    ) -> tuple[messages.QuarantinedRequest, ...]:
        """Return the quarantined requests for a report, the latest ones."""
        return tuple(
            messages.QuarantinedRequest(
                fingerprint, int(suspect.quarantined_until_ms - now_ms)
            )
            for fingerprint, suspect in self._suspects.items()
            if now_ms < suspect.quarantined_until_ms
        )[-_MAX_REPORTED:]

    def _add_crash(
        self,
        fingerprint: model.RequestFingerprint,
        started_at_ms: float,
        crashed_at_ms: float,
        now_ms: float,
    ) -> bool:
        """Count a crash; return whether it is further evidence."""
        suspect = self._suspect(fingerprint)
        if not suspect.add_crash(started_at_ms, crashed_at_ms):
            return False
        if (
            suspect.crash_count >= CRASH_LIMIT
            and now_ms >= suspect.quarantined_until_ms
        ):
            suspect.quarantine_ms = min(
                _MAX_QUARANTINE_MS,
                max(
                    QUARANTINE_MS,
                    _QUARANTINE_GROWTH_RATIO * suspect.quarantine_ms,
                ),
            )
            self._quarantine_until(
                fingerprint, now_ms + suspect.quarantine_ms, now_ms
            )
        return True

    def _quarantine_until(
        self,
        fingerprint: model.RequestFingerprint,
        until_ms: float,
        now_ms: float,
    ) -> None:
        """Start or prolong a quarantine."""
        suspect = self._suspects[fingerprint]
        was_quarantined = now_ms < suspect.quarantined_until_ms
        suspect.quarantined_until_ms = max(
            suspect.quarantined_until_ms, until_ms
        )
        if not was_quarantined and now_ms < until_ms:
            self._on_change(
                fingerprint, suspect.crash_count, until_ms - now_ms
            )

    def _suspect(
        self, fingerprint: model.RequestFingerprint
    ) -> suspects.Suspect:
        """Return what is known of a request; drop the oldest of too many."""
        suspect = self._suspects.setdefault(fingerprint, suspects.Suspect())
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _forget(
        self, fingerprint: model.RequestFingerprint, now_ms: float
    ) -> None:
        """Drop a request that has not crashed a target this time."""
        suspect = self._suspects.pop(fingerprint)
        self._survived_at_ms[fingerprint] = now_ms
        self._survived_at_ms.move_to_end(fingerprint)
        if len(self._survived_at_ms) > _MAX_SUSPECTS:
            self._survived_at_ms.popitem(last=False)
        if now_ms < suspect.quarantined_until_ms:
            self._on_change(fingerprint, suspect.crash_count, 0.0)
