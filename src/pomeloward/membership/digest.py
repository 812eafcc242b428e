"""States of other hosts in a beat, 3 bytes each.

An entry is the index of the host in the sorted list of the region's hosts
and a code. Sender and receiver share the list only under the same version
of the configuration; digests of another version are passed over.
"""

import collections.abc
import struct

from pomeloward import model

SILENT_CODE = 3
_CODES = {
    model.HostState.STARTING: 0,
    model.HostState.READY: 1,
    model.HostState.DRAINING: 2,
}
_STATES = {code: state for state, code in _CODES.items()}
_ENTRY = struct.Struct("!HB")
# Bounds the beat; 8 of 32 contacts a second reach every other host of a
# region of 220 about once in a second.
MAX_ENTRIES = 8


def code_of(state: model.HostState | None) -> int:
    """Return the code of a state; None is silent."""
    return SILENT_CODE if state is None else _CODES[state]


def state_of(code: int) -> model.HostState | None:
    """Return the state of a code; None for silent and unknown codes."""
    return _STATES.get(code)


def pack(entries: collections.abc.Iterable[tuple[int, int]]) -> bytes:
    """Return the bytes of pairs of host index and code."""
    return b"".join(_ENTRY.pack(index, code) for index, code in entries)


def unpack(digest: bytes) -> list[tuple[int, int]]:
    """Return the pairs of a digest; an incomplete one is left out."""
    complete = len(digest) - len(digest) % _ENTRY.size
    return list(_ENTRY.iter_unpack(digest[:complete]))
