"""Proof that a request did not run on a target."""

import dataclasses
import enum


class NotRunReason(enum.Enum):
    """Why it is certain that a request did not run on a target."""

    NOT_SENT = "not_sent"
    REFUSED_BY_CONTRACT = "refused_by_contract"
    CANCELLED_BEFORE_START = "cancelled_before_start"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRunProof:
    """Proof that a request did not run, so a retry elsewhere is safe.

    It is created only where the fact was observed: no byte of the request
    left the host, the target refused by its published contract, or the
    target confirmed a cancellation before it started the request.
    ``evidence`` describes the observation, such as the status received.
    """

    reason: NotRunReason
    evidence: str
