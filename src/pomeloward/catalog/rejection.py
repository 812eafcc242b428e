"""Rejects a change or snapshot with its reasons."""

import collections.abc
import itertools

from pomeloward import model
from pomeloward.catalog import draft
from pomeloward.catalog import recordrules
from pomeloward.catalog import state
from pomeloward.catalog import transitionrules

# A rejection names this many reasons, enough to repair a typical change.
MAX_REASONS = 8


def reject(
    version: model.Version, reasons: collections.abc.Iterable[str]
) -> None:
    """Raise ``ConfigurationError`` if there is any reason."""
    first = list(itertools.islice(reasons, MAX_REASONS))
    if first:
        raise model.ConfigurationError(
            f"version {version} rejected: {'; '.join(first)}"
        )


def step_reasons(
    base: state.State, steps: collections.abc.Iterable[draft.Step]
) -> collections.abc.Iterator[str]:
    """Yield the broken rules of single records and their transitions."""
    for step in steps:
        place = f"{step.of_kind.value} {step.name}"
        if step.new is not None:
            for reason in recordrules.broken_rules(step.new):
                yield f"{place}: {reason}"
        for reason in transitionrules.broken_rules(base, step):
            yield f"{place}: {reason}"
