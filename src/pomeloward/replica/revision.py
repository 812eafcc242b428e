"""Revisions of the platform's store that stay comparable when it is restored.

The store numbers its changes. When it comes back from an older copy of
itself, it gives out the numbers since the copy again and counts this in its
era. A revision here contains both, so that each change of the restored store
has a larger one than all changes before.
"""

# More changes than a store makes between two restorations.
_NUMBER_BITS = 40


def make_revision(era: int, number: int) -> int:
    """Return the revision of a change.

    Example::

        make_revision(era=2, number=34) > make_revision(era=1, number=35)
    """
    return (era << _NUMBER_BITS) + number


def era_of(revision: int) -> int:
    """Return the era of the store in which a change was made or copied."""
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number that the store gave to a change."""
    return revision & ((1 << _NUMBER_BITS) - 1)
