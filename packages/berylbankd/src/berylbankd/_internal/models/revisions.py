"""As of when something of the store is known: the store's era, and the revision within it.

A store that came back from a copy is in a new era and gives revisions out again. A revision here is
one integer with both, so that a newer era is above every revision of an older one wherever
revisions are compared, kept or sent to other VMs. A store that names no era is in era 0, where a
revision is the store's own number.
"""

NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# The wire format between VMs has 64 bits for a revision.
MAX_ERA = (1 << 63 - NUMBER_BITS) - 1


def make_revision(era: int, number: int) -> int:
    """Return the revision of a number that the store gave out in an era.

    :raises ValueError: if either is not in its range.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"era {era} or revision {number} is out of range")
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number that the store gave out for a revision."""
    return revision & MAX_NUMBER


def describe_revision(revision: int) -> str:
    """Return a revision for logs: the number, after the era if the store names eras."""
    era, number = era_of(revision), number_of(revision)
    return f"{era}.{number}" if era else str(number)
