"""Outcomes of attempts."""

import enum


class Outcome(enum.Enum):
    """How an attempt at a target ended, as evidence of the target's health.

    ``ERROR``: the target failed after the request was sent.
    ``SHED``: the target refused the request without running it, such as
    when it is full.
    ``UNREACHABLE``: the request could not be sent.
    ``SILENT``: no answer came in the usual time or before the deadline.
    ``ABANDONED``: the caller left, or another target answered first.
    ``MISPLACED``: another server listens at the target's address.
    """

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    ABANDONED = "abandoned"
    MISPLACED = "misplaced"
