"""HTTP headers and statuses that callers, hosts and targets agree on."""

import dataclasses

# Between hosts, the digest of the caller's key in hexadecimal.
KEY_DIGEST_HEADER = b"x-key-digest"
# Between hosts, how many targets a relayed request may still be sent to.
ATTEMPTS_LEFT_HEADER = b"x-attempts-left"
# Between hosts, the id of the target that answered a relayed request.
ANSWERING_TARGET_HEADER = b"x-answering-target"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpConventions:
    """The custom headers and statuses of one deployment.

    Header names are in lower case. A caller sends ``request_id_header``,
    ``timeout_ms_header`` and its key, which follows
    ``authorization_prefix`` in the Authorization header.

    A target gets the remaining time in ``timeout_ms_header``, its own id in
    ``target_id_header`` and the id of the caller's team in
    ``team_id_header``. Its complete success responses have
    ``signature_header``. A response with ``not_run_header``, or with one of
    ``target_not_run_statuses``, says that the target did not run the
    request. In ``rate_limit_header`` a target names the requests per second
    that it takes from all hosts together, and with ``leaving_header`` it says
    that it ends soon.

    A response with one of ``caller_not_run_statuses`` promises the caller
    that its request did not run. With ``is_between_hosts`` requests come from
    other hosts, with the digest of the caller's key in place of the key, and
    answers name their target.
    """

    request_id_header: bytes
    timeout_ms_header: bytes
    target_id_header: bytes
    team_id_header: bytes
    signature_header: bytes
    not_run_header: bytes
    rate_limit_header: bytes
    leaving_header: bytes
    authorization_prefix: bytes
    target_not_run_statuses: frozenset[int]
    caller_not_run_statuses: frozenset[int]
    is_between_hosts: bool = False

    def between_hosts(self) -> "HttpConventions":
        """Return the conventions for requests that hosts relay."""
        return dataclasses.replace(self, is_between_hosts=True)
