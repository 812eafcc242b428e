"""The kinds of refusals."""

import enum


class ErrorKind(enum.Enum):
    """Every reason for which a caller's request can be refused.

    ``KEY_*`` kinds concern the caller's API key, and ``ORDER_KEY_*`` kinds
    the ``Idempotency-Key`` header of an order.
    """

    BAD_REQUEST = "bad_request"
    HEAD_TIMEOUT = "head_timeout"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    ROUTE_UNKNOWN = "route_unknown"
    ROUTE_FORBIDDEN = "route_forbidden"
    ORDER_KEY_MISSING = "order_key_missing"
    ORDER_KEY_INVALID = "order_key_invalid"
    ORDER_CONFLICT = "order_conflict"
    # The outcome of an earlier run of the order is not known.
    ORDER_UNKNOWN = "order_unknown"
    ORDER_OWNER_UNAVAILABLE = "order_owner_unavailable"
    RATE_EXCEEDED = "rate_exceeded"
    # Not every owner of a part of the team's rate limit could be asked.
    BUDGET_UNAVAILABLE = "budget_unavailable"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    CONNECTION_LIMIT = "connection_limit"
    NO_CAPACITY = "no_capacity"
    # The host can connect to no target.
    NO_TARGET_PATH = "no_target_path"
    # Targets have crashed under the same request again and again.
    REQUEST_QUARANTINED = "request_quarantined"
    HOST_STARTING = "host_starting"
    HOST_DRAINING = "host_draining"
    # The host hears from too few other hosts.
    HOST_ISOLATED = "host_isolated"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    TARGET_TIMEOUT = "target_timeout"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"
