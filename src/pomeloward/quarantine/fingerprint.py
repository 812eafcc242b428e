"""Recognizes requests that ask for the same thing."""

import hashlib

from pomeloward import model

# Bytes of a body that a fingerprint covers, besides the announced length.
# Longer bodies are streamed, so that their end isn't known in time.
BODY_BYTES = 64 * 1024
_DIGEST_BYTES = 12


def compute_fingerprint(
    method: str,
    path_and_query: bytes,
    team_id: str,
    body_start: bytes,
    body_length: int | None,
) -> model.RequestFingerprint:
    """Return a digest that equal requests of one team have in common.

    ``body_length`` is the announced length of the body, None without one.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        method.encode("latin-1"),
        path_and_query,
        team_id.encode("utf-8"),
        b"" if body_length is None else b"%d" % body_length,
        body_start[:BODY_BYTES],
    ):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return model.RequestFingerprint(digest.hexdigest())
