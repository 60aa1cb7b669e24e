"""State of one daemon, composed of the states of its roles."""

import random
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.configuration.model import DatabaseConfig


@dataclass(slots=True)
class NodeState:
    """State of one daemon.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        rng: Random number generator, seeded by the shell that runs the reducer.
        groups: Monitoring state per owned database (`cassiaseam.group`).
        group_due: Heap of `(time in seconds, database)` at which groups need a Tick.
        group_terms: Highest known term per database that this daemon no longer owns. It keeps a
            term from being used twice, because late answers carry only the term.
        database_configs: Active configuration per database, from `DatabaseConfigured`.
        databases: Owner state per database (`cassiaseam.owner`).
        owner: Owner state shared by all databases, such as due times (`cassiaseam.owner`).
        membership: State of `cassiaseam.membership`.
        configuration: State of `cassiaseam.configuration`.
        entry: State of `cassiaseam.entry`.
    """

    vm: str
    place: str
    rng: random.Random
    groups: dict[str, Any] = field(default_factory=dict)
    group_due: list[tuple[float, str]] = field(default_factory=list)
    group_terms: dict[str, int] = field(default_factory=dict)
    database_configs: dict[str, DatabaseConfig] = field(default_factory=dict)
    databases: dict[str, Any] = field(default_factory=dict)
    owner: Any = None
    membership: Any = None
    configuration: Any = None
    entry: Any = None
