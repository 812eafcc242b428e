"""The short run of the site, at a twelfth of the size."""

import pytest

from tests.platform.site import play
from tests.platform.site import shape as shapes

_SEED = 1
_DURATION_S = 10.0
# Half of what the callers send, which leaves room for a busy machine.
_LEAST_REQUESTS = 400
_LEAST_SECOND_ANSWERS = 50


@pytest.mark.anyio
async def test_second_answers_change_no_answer_to_a_caller(tmp_path):
    """Callers of real processes got a success where a target had failed."""
    made = await play.play(
        shapes.SMALL, _SEED, _DURATION_S, play.SOURCE, tmp_path
    )
    assert made.wrong == {}
    assert made.requests > _LEAST_REQUESTS
    assert made.served > made.requests / 3
    assert made.second_answers > _LEAST_SECOND_ANSWERS
