"""Classifies how an attempt at a target failed."""

import dataclasses

import httpx

from pomeloward import model
from pomeloward import service

# The header and value by which a target says that it did not start a
# request; part of the targets' published contract.
RUN_STATE_HEADER = "run-state"
REQUEST_ID_HEADER = "pomeloward-request-id"
RUN_STATE_NOT_RUN = "not_run"


class PermissionLapsed(model.PomelowardError):
    """A slot or run permit ended before the first byte was sent.

    A lapsed slot can be had again; ``is_final`` tells of a run permit.
    """

    def __init__(self, detail: str, is_final: bool = False) -> None:
        super().__init__(detail)
        self.is_final = is_final


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed attempt: evidence on the target and on the run.

    ``proof`` is None when the request may have run on the target. After a
    final failure no other attempt can be sent.
    """

    outcome: service.Outcome
    refusal: model.Refusal
    proof: model.NotRunProof | None
    is_final: bool = False


def classify_error(error: Exception, is_sent: bool) -> Failure:
    """Classify an exception of an attempt.

    ``is_sent`` tells whether the sending of the first byte had begun.
    """
    name = type(error).__name__
    if is_sent:
        return _after_sending(error, name)
    proof = model.NotRunProof(model.NotRunReason.NOT_SENT, name)
    if isinstance(error, PermissionLapsed):
        return Failure(
            service.Outcome.CANCELLED,
            model.Refusal(
                model.ErrorKind.NO_CAPACITY, str(error), retry_after_ms=1_000
            ),
            proof,
            error.is_final,
        )
    if isinstance(error, httpx.PoolTimeout):
        outcome = service.Outcome.CANCELLED
    else:
        outcome = service.Outcome.CONNECT_FAILED
    return Failure(
        outcome,
        model.Refusal(
            model.ErrorKind.TARGET_UNREACHABLE,
            f"the target could not be reached ({name})",
            retry_after_ms=1_000,
        ),
        proof,
    )


def classify_status(status: int, run_state: str | None) -> Failure | None:
    """Classify an answer; None is an answer that the caller gets."""
    if status == 503 and run_state == RUN_STATE_NOT_RUN:
        return Failure(
            service.Outcome.SHED,
            model.Refusal(
                model.ErrorKind.TARGET_REFUSED,
                "the target is shedding load",
                retry_after_ms=1_000,
            ),
            model.NotRunProof(
                model.NotRunReason.REFUSED_BY_CONTRACT,
                "503 with Run-State: not_run",
            ),
        )
    if status >= 500 or status < 200:
        return Failure(
            service.Outcome.ERROR,
            model.Refusal(
                model.ErrorKind.TARGET_FAILED,
                f"the target answered {status}",
            ),
            None,
        )
    return None


def _after_sending(error: Exception, name: str) -> Failure:
    if isinstance(error, httpx.TimeoutException):
        return Failure(
            service.Outcome.TIMEOUT,
            model.Refusal(
                model.ErrorKind.TARGET_TIMEOUT,
                f"the target did not answer in time ({name})",
            ),
            None,
        )
    return Failure(
        service.Outcome.ERROR,
        model.Refusal(
            model.ErrorKind.TARGET_FAILED,
            f"the connection to the target failed ({name})",
        ),
        None,
    )
