"""How many voters must record an intent, and how many a successor reads."""

from pomeloward import model
from pomeloward.orders import messages


def write_quorum(voters: int) -> int:
    """Return how many voters of one roster must record: 3 of 7."""
    return max(1, voters // 2)


def read_quorum(voters: int) -> int:
    """Return how many voters must be read to meet every write: 5 of 7."""
    return voters - write_quorum(voters) + 1


def first_voters(electorate: messages.Electorate) -> list[model.HostId]:
    """Return the voters to ask first: a write quorum and one spare."""
    chosen: dict[model.HostId, None] = {}
    for voters in electorate:
        chosen.update(dict.fromkeys(voters[: write_quorum(len(voters)) + 1]))
    return list(chosen)


def has_written(
    electorate: messages.Electorate,
    recorded: set[model.HostId],
) -> bool:
    """Tell whether enough voters of every roster recorded an intent."""
    return bool(electorate) and all(
        voters
        and len(recorded.intersection(voters)) >= write_quorum(len(voters))
        for voters in electorate
    )


def has_read(
    electorate: messages.Electorate,
    complete: set[model.HostId],
) -> bool:
    """Tell whether enough complete voters of every roster were read."""
    return bool(electorate) and all(
        voters
        and len(complete.intersection(voters)) >= read_quorum(len(voters))
        for voters in electorate
    )
