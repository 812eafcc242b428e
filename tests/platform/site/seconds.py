"""Draws the second answers of targets."""

import dataclasses

from tests.platform.site import answers

# In one write with the first answer, while the connection is idle, or in
# front of the next answer.
MOMENTS = ("write", "idle", "before")


@dataclasses.dataclass(frozen=True)
class Second:
    """A second answer, whole or cut after ``cut_bytes``."""

    answer: answers.Answer
    moment: str
    cut_bytes: int | None

    @property
    def data(self):
        return self.answer.data[: self.cut_bytes]


def draw(rng, first):
    """Return a second answer to the request of the first one."""
    status = first.status
    if rng.random() < 0.25:
        status = 500 if status == 200 else 200
    request = "" if rng.random() < 0.25 else first.request
    second = answers.make(
        request, status, first.signature + ".second", first.body
    )
    return Second(second, rng.choice(MOMENTS), _cut_bytes(rng, second))


def _cut_bytes(rng, answer):
    form = rng.random()
    if form < 0.25:
        return None
    if form < 0.85:
        return rng.randrange(1, answer.head_bytes)
    return rng.randrange(answer.head_bytes, len(answer.data))
