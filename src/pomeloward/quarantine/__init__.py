"""Quarantine of requests that crash the targets which run them."""

from pomeloward.quarantine.fingerprint import BODY_BYTES as BODY_BYTES
from pomeloward.quarantine.fingerprint import (
    compute_fingerprint as compute_fingerprint,
)
