"""Quarantine of requests that crash the targets which run them."""

from pomeloward.quarantine.fingerprint import BODY_BYTES as BODY_BYTES
from pomeloward.quarantine.fingerprint import (
    compute_fingerprint as compute_fingerprint,
)
from pomeloward.quarantine.messages import CrashReport as CrashReport
from pomeloward.quarantine.messages import (
    QuarantinedRequest as QuarantinedRequest,
)
from pomeloward.quarantine.messages import TargetCrash as TargetCrash
from pomeloward.quarantine.requestquarantine import CRASH_LIMIT as CRASH_LIMIT
from pomeloward.quarantine.requestquarantine import (
    QUARANTINE_MS as QUARANTINE_MS,
)
from pomeloward.quarantine.requestquarantine import (
    REPORT_INTERVAL_MS as REPORT_INTERVAL_MS,
)
from pomeloward.quarantine.requestquarantine import (
    RequestQuarantine as RequestQuarantine,
)
