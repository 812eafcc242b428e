"""A checked request of a caller."""

import dataclasses

from pomeloward import model
from pomeloward.entry import separation


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """What is left of a request after its checks.

    ``headers`` and ``target_path`` (path and query) hold no key. ``path`` is
    decoded for the look-up of the route. ``digests`` are those of the keys
    that came along, normally one. ``deadline_ms`` is what the caller still
    allows, None for the route's own deadline.
    """

    id: model.RequestId
    method: str
    path: str
    target_path: bytes
    headers: separation.Headers
    digests: frozenset[bytes]
    http_version: str
    order_key: str | None = None
    deadline_ms: float | None = None
    content_length: int | None = None
    has_body: bool = False
