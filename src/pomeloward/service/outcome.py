"""How a request to a target ended."""

import enum


class Outcome(enum.Enum):
    """The end of one request, as evidence about its target.

    ``SHED`` is the target's own refusal under load, ``CANCELLED`` an end
    that the caller or a hedge brought about.
    """

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
