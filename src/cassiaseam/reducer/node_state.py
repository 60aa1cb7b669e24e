"""State of one daemon, made of the states of its roles."""

import random
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class NodeState:
    """State of one daemon.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        rng: Source of randomness, seeded by the shell.
        groups: Monitoring state per owned database (`cassiaseam.group`).
        databases: Owner state per database (`cassiaseam.owner`).
        owner: Owner state that all databases share, such as due times (`cassiaseam.owner`).
        membership: State of `cassiaseam.membership`.
        configuration: State of `cassiaseam.configuration`.
        entry: State of `cassiaseam.entry`.
    """

    vm: str
    place: str
    rng: random.Random
    groups: dict[str, Any] = field(default_factory=dict)
    databases: dict[str, Any] = field(default_factory=dict)
    owner: Any = None
    membership: Any = None
    configuration: Any = None
    entry: Any = None
