"""Registry of the environments that a daemon in the pooler role can run in."""

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Result

from cassiaseam.pooler.events import PeerRecord
from cassiaseam.pooler.model import RoutingConfig, TargetRecord
from cassiaseam.pooler.storewatch import StoreKinds


@dataclass(frozen=True, slots=True)
class Environment:
    """Connections of one environment.

    Attributes:
        callers: Twisted factory for callers, with `sessions` per session number.
        targets: Opens connections to targets, with `connections` per connection number.
        store: Store of the environment.
        promotions: API that promotes targets.
        kinds: Object kinds that are watched.
        decode_config: Decoder of the configuration.
        decode_target: Decoder of a target record, from its name and content.
        decode_vm: Decoder of the record of a VM, from its name and content.
        decode_size: Decoder of the size of a group, from its content.
        readiness_path: Path at which the load balancer asks whether the VM takes callers.
    """

    callers: Any
    targets: Any
    store: Any
    promotions: Any
    kinds: StoreKinds
    decode_config: Callable[[Any], Result[RoutingConfig, str]]
    decode_target: Callable[[str, Any], Result[TargetRecord, str]]
    decode_vm: Callable[[str, Any], Result[PeerRecord, str]]
    decode_size: Callable[[Any], Result[int, str]]
    readiness_path: str


Builder = Callable[[Any, Any, Any], Environment]
ENVIRONMENTS: dict[str, Builder] = {}


def registers_environment(name: str) -> Callable[[Builder], Builder]:
    """Register the function that builds an environment."""

    def register(builder: Builder) -> Builder:
        ENVIRONMENTS[name] = builder
        return builder

    return register


def find_environment(name: str) -> Builder | None:
    """Return the builder of an environment, which lives in a package of its name."""
    if name not in ENVIRONMENTS and name.isidentifier():
        try:
            importlib.import_module(f'cassiaseam.{name}.environment')
        except ModuleNotFoundError:
            return None
    return ENVIRONMENTS.get(name)
