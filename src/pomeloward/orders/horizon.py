"""How long orders are remembered."""

from pomeloward import model

# How long a caller may repeat an order with its key.
HORIZON_MS = 600_000.0
# How long a claim waits for an owner or for a running attempt; it covers the
# change of an owner that crashed. A host that was paused for longer gives the
# claim up: the order may have run and been forgotten meanwhile.
CLAIM_MS = 8_000.0
# How long a run permit lasts: the intents at the voters and the waits for
# tokens and for a slot lie between its question and the dispatch.
PERMIT_MS = 12_000.0
# The intents must be acknowledged within this time of the question. A voter
# that restarted records none for as long, since it forgot which epochs it
# refuses.
INTENT_MS = 1_000.0
# The longest run from the dispatch to the answer; after it the outcome of a
# run whose host has not reported is unknown for good.
RUN_MS = 60_000.0
# Covers message delays, in addition to the drift of clocks.
_MARGIN_MS = 10_000.0


def memory_ms(horizon_ms: float) -> float:
    """Return how long a memory must reach back to be complete.

    It exceeds the horizon by the drift of the clocks of the caller, owner,
    successor and voter, and by the delay of messages.
    """
    return horizon_ms * (1 + 4 * model.MAX_DRIFT_RATIO) + _MARGIN_MS


def retention_ms(horizon_ms: float) -> float:
    """Return how long a settled order is kept.

    It exceeds the reach of a complete memory by the longest run, since
    voters count from the intent and owners from the outcome.
    """
    return memory_ms(horizon_ms) + PERMIT_MS + RUN_MS + _MARGIN_MS
