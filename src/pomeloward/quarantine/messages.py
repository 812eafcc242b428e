"""Messages between hosts about requests that crash their targets."""

import msgspec

from pomeloward import model
from pomeloward import peer


class TargetCrash(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The crash of a target that ran a request.

    The target had run it for ``run_ms``; since then ``age_ms`` have passed.
    """

    fingerprint: model.RequestFingerprint
    run_ms: int
    age_ms: int


class QuarantinedRequest(
    msgspec.Struct, frozen=True, array_like=True, gc=False
):
    """A request that no host should send, and for how much longer."""

    fingerprint: model.RequestFingerprint
    remaining_ms: int


class CrashReport(peer.Message, frozen=True, tag="quarantine_crashes"):
    """What the sender knows of requests that crash their targets.

    ``crashes`` are those that it saw since its last report. ``survived`` are
    the requests of earlier reports that a target has run without a crash.
    """

    crashes: tuple[TargetCrash, ...] = ()
    quarantined: tuple[QuarantinedRequest, ...] = ()
    survived: tuple[model.RequestFingerprint, ...] = ()
