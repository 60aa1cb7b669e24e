"""Revisions of a store as one order over all of its eras.

A restore from a copy begins an era, in which the store gives revisions out again. A revision
inside this project therefore holds the era above the number that the store gave out.
"""

# Bits for the number of the store; the rest of 63 bits is for the era.
NUMBER_BITS = 40
_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def join_revision(era: int, number: int) -> int:
    """Return the revision for a number that the store gave out in an era."""
    return (era << NUMBER_BITS) | number


def get_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the number that the store gave out."""
    return revision & _NUMBER_MASK
