"""The HTTP conventions of the platform's callers and targets."""

from pomeloward import relay

HTTP_CONVENTIONS = relay.HttpConventions(
    request_id_header=b"x-request-id",
    timeout_ms_header=b"x-timeout-ms",
    target_id_header=b"x-target-instance",
    team_id_header=b"x-tenant",
    signature_header=b"x-upstream-signature",
    not_run_header=b"x-not-executed",
    rate_limit_header=b"server-limit",
    leaving_header=b"server-leaving",
    authorization_prefix=b"token ",
    # 421 says that another target has taken over the address.
    target_not_run_statuses=frozenset({421}),
    caller_not_run_statuses=frozenset({408, 421, 429, 503}),
)
