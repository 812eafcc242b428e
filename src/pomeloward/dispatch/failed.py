"""The error side of dispatch."""

import dataclasses

from pomeloward import model


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A request that got no answer.

    ``proof`` is None when the request may have run; ``refusal`` then never
    says ``not run``.
    """

    refusal: model.Refusal
    proof: model.NotRunProof | None
