"""Snapshots for peers, as pages of packed records."""

import collections.abc

import msgspec

from pomeloward import model
from pomeloward import origin
from pomeloward.catalog import configuration
from pomeloward.catalog import kind
from pomeloward.catalog import records
from pomeloward.catalog import state
from pomeloward.catalog import table

# A page takes under a millisecond to make, which serving requests can bear.
PAGE_BYTES = 32_000

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(dict[kind.Kind, list[msgspec.Raw]])


def page_count(view: configuration.Configuration) -> int:
    """Return the number of pages; it depends only on the contents."""
    pages = 1
    while pages < table.SHARD_COUNT and (
        pages * PAGE_BYTES < view.payload_bytes()
    ):
        pages *= 2
    return pages


def encode_page(
    view: configuration.Configuration, page: int, pages: int
) -> bytes:
    """Return the packed records of a range of shards."""
    width = table.SHARD_COUNT // pages
    first = page * width
    return _ENCODER.encode(
        {
            of_kind: [
                msgspec.Raw(payload)
                for payload in view.payloads(of_kind, first, first + width)
            ]
            for of_kind in kind.Kind
        }
    )


def decode_pages(
    pages: collections.abc.Iterable[bytes],
) -> collections.abc.Iterator[records.Record]:
    """Iterate over the records of pages.

    Raises ``ConfigurationError`` when a page is malformed.
    """
    for page in pages:
        try:
            for of_kind, payloads in _DECODER.decode(page).items():
                codec = state.CODECS[of_kind]
                for payload in payloads:
                    yield codec.decode_foreign(payload)
        except origin.MALFORMED as error:
            raise model.ConfigurationError(
                f"malformed page: {error}"
            ) from error
