"""The id by which an answer is known to belong to a request."""

import collections.abc
import dataclasses

import httpx

# Extension of a request with its ``RequestIdentity``.
IDENTITY_EXTENSION = "identity"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIdentity:
    """An id that the answer to a request repeats in a header.

    ``header`` is in lower case. Without ``is_in_all_answers`` an answer may
    have no id, but none of another request.
    """

    header: bytes
    request_id: bytes
    is_in_all_answers: bool = True

    def is_in(
        self, headers: collections.abc.Iterable[tuple[bytes, bytes]]
    ) -> bool:
        """Return whether an answer with these headers is to the request."""
        ids = [value for name, value in headers if name.lower() == self.header]
        return ids == [self.request_id] or not (ids or self.is_in_all_answers)


def find_identity(request: httpx.Request) -> RequestIdentity | None:
    """Return the identity of a request, None if it has none."""
    identity: RequestIdentity | None = request.extensions.get(
        IDENTITY_EXTENSION
    )
    return identity
