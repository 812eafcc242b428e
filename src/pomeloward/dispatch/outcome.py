"""How an attempt at a target ended."""

import enum


class Outcome(enum.Enum):
    """What the evidence of an attempt says about the target."""

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
