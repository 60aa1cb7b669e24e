"""State of the client accounts on one VM."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Usage:
    """Number of uses that decays over time.

    Attributes:
        count: Number of uses, decayed until `updated_at`.
        updated_at: Time of the latest use.
    """

    count: float = 0
    updated_at: float = 0


@dataclass(slots=True)
class AccountsState:
    """State of the client accounts on one VM.

    Attributes:
        changed_since: Time at which a configuration changed the account of an open session, per
            session.
        usage: Recent statements per target and account.
        replacements: Recent replacements of connections per target.
        sessions_refused: Number of refused sessions per cause.
        sessions_closed: Number of sessions that were closed because of their key, per cause.
        connections: Number of connections to targets that were opened, replaced and refused.
    """

    changed_since: dict[int, float] = field(default_factory=dict)
    usage: dict[tuple[str, str], Usage] = field(default_factory=dict)
    replacements: dict[str, Usage] = field(default_factory=dict)
    sessions_refused: dict[str, int] = field(default_factory=dict)
    sessions_closed: dict[str, int] = field(default_factory=dict)
    connections: dict[str, int] = field(default_factory=dict)


def count_event(counts: dict[str, int], key: str) -> None:
    """Add one to a counter."""
    counts[key] = counts.get(key, 0) + 1
