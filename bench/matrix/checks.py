"""All checks of the promises."""

import collections.abc

from bench.matrix import checkanswers
from bench.matrix import checkchanges
from bench.matrix import checkload
from bench.matrix import violation
from bench.matrix import world as worlds

_CHECKS = (
    checkload.floor,
    checkanswers.keys,
    checkanswers.secrets,
    checkchanges.withdrawal,
    checkload.rate,
    checkload.cold_start,
    checkchanges.zones_out,
    checkanswers.answers,
    checkanswers.truth,
    checkanswers.once,
    checkchanges.leaving,
    checkanswers.stops,
    checkchanges.configuration,
    checkload.turns,
)


def all_violations(
    world: worlds.World,
) -> collections.abc.Iterator[violation.Violation]:
    """Check every promise."""
    for check in _CHECKS:
        yield from check(world)
