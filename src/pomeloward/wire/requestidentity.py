"""The id by which an answer is known to belong to a request."""

import collections.abc
import dataclasses

# Extension of a request with its ``RequestIdentity``.
IDENTITY_EXTENSION = "identity"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIdentity:
    """An id that the answer to a request repeats in a header.

    ``header`` is in lower case.
    """

    header: bytes
    request_id: bytes

    def is_in(
        self, headers: collections.abc.Iterable[tuple[bytes, bytes]]
    ) -> bool:
        """Return whether an answer with these headers is to the request."""
        return [
            value for name, value in headers if name.lower() == self.header
        ] == [self.request_id]
