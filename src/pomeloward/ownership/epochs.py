"""Epochs that grow even when all voters have lost their memory."""

# Start of 2026 in milliseconds of Unix time.
_BASE_MS = 1_767_225_600_000.0
# Candidacies of the 7 candidates of a partition are more than 100 ms apart
# on average, so epochs do not run ahead of time; until 2039 they fit into 32
# bits.
_UNIT_MS = 100.0


def lowest_epoch(unix_ms: float, *known: int) -> int:
    """Return the least epoch for a new candidacy.

    It is above every epoch known. Time only matters after a majority of the
    voters has restarted: they were silent for a lease, so the epoch is above
    those of before if the hosts' wall clocks differ by less than that.
    """
    from_time = int(max(0.0, unix_ms - _BASE_MS) / _UNIT_MS)
    return max(from_time, 0, *known) + 1
