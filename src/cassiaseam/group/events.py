"""Events of the group role that other roles send."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromotionRequested:
    """Event: start a planned promotion for a database.

    Attributes:
        database: Name of the database group.
        target: Target to prefer among equally advanced ones, or ''.
        reason: Why the promotion is requested.
    """

    database: str
    target: str = ''
    reason: str = ''
