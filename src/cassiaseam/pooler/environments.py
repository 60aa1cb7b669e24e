"""Registry of environments: adapters for the platforms that a pooler can run on."""

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Result

from cassiaseam.pooler.admission.mode import Admission
from cassiaseam.pooler.events import PeerRecord
from cassiaseam.pooler.group_sizes import SizeRecord
from cassiaseam.pooler.model import RoutingConfig, TargetRecord
from cassiaseam.pooler.quotas.shares import ShareRecord
from cassiaseam.pooler.store_watcher import StoreKinds


@dataclass(frozen=True, slots=True)
class Environment:
    """Adapter of one environment.

    Attributes:
        callers: Twisted factory for callers; `sessions` maps session ids to protocols.
        targets: Connector for targets; `connections` maps connection ids to protocols.
        store: Client of the store.
        promotions: Client of the API that promotes targets.
        kinds: Object kinds in the store.
        decode_config: Decoder of the configuration.
        decode_target: Decoder of a target record, from its name and content.
        decode_vm: Decoder of the record of a VM, from its name and content.
        decode_size: Decoder of the size of a group, from its name, revision and content.
        decode_share: Decoder of the record of a quota share, from its content.
        readiness_path: Path of the readiness probe of the load balancer.
        find_admission: Mode of admission that the terms of the platform ask for.
    """

    callers: Any
    targets: Any
    store: Any
    promotions: Any
    kinds: StoreKinds
    decode_config: Callable[[Any], Result[RoutingConfig, str]]
    decode_target: Callable[[str, Any], Result[TargetRecord, str]]
    decode_vm: Callable[[str, Any], Result[PeerRecord, str]]
    decode_size: Callable[[str, int, Any], Result[SizeRecord, str]]
    decode_share: Callable[[Any], Result[ShareRecord, str]]
    readiness_path: str
    find_admission: Callable[[tuple[str, ...]], Admission] = lambda terms: Admission.FIXED


EnvironmentBuilder = Callable[[Any, Any, Any], Environment]
ENVIRONMENTS: dict[str, EnvironmentBuilder] = {}


def register_environment(name: str) -> Callable[[EnvironmentBuilder], EnvironmentBuilder]:
    """Register the function that builds an environment."""

    def register(builder: EnvironmentBuilder) -> EnvironmentBuilder:
        ENVIRONMENTS[name] = builder
        return builder

    return register


def find_environment(name: str) -> EnvironmentBuilder | None:
    """Return the builder of an environment; import the package of that name if needed."""
    if name not in ENVIRONMENTS and name.isidentifier():
        try:
            importlib.import_module(f'cassiaseam.{name}.environment')
        except ModuleNotFoundError:
            return None
    return ENVIRONMENTS.get(name)
