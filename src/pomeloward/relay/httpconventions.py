"""The names by which callers, hosts and targets speak."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HttpConventions:
    """Header names, in lower case, of one deployment.

    A caller sends ``request_id``, ``timeout_ms`` and, after ``key_scheme``
    in its authorization, a key. A target is told the time left in
    ``timeout_ms``, its own id in ``target`` and the caller's team in
    ``team``. It marks a whole good answer with ``signature``, and an answer
    to a request that it did not run with ``not_run``, or by a status in
    ``not_run_statuses``. A refusal with a status in ``promises`` tells the
    caller that its request has not run.
    """

    request_id_header: bytes
    timeout_ms_header: bytes
    target_id_header: bytes
    team_id_header: bytes
    signature_header: bytes
    not_run_header: bytes
    authorization_prefix: bytes
    target_not_run_statuses: frozenset[int]
    caller_not_run_statuses: frozenset[int]
