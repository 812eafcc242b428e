"""Proof that a request certainly did not run on a target."""

import dataclasses
import enum


class NotRunReason(enum.Enum):
    """The facts that prove that a request did not run."""

    NOT_SENT = "not_sent"
    REFUSED_BY_CONTRACT = "refused_by_contract"
    CANCELLED_BEFORE_START = "cancelled_before_start"


@dataclasses.dataclass(frozen=True, slots=True)
class NotRunProof:
    """A fact that makes a retry elsewhere safe.

    It is made only where the fact was seen: no byte of the request left the
    host, the target refused by its published contract, or the target
    confirmed a cancellation before it started.
    """

    reason: NotRunReason
    evidence: str
