"""Settings of a daemon in the pooler role."""

from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from cassiaseam.pooler.admission.mode import Admission
from cassiaseam.settings.problems import describe_validation_errors
from cassiaseam.settings.section import Name, Section
from cassiaseam.settings.unique_keys import UniqueKeyLoader
from cassiaseam.settings.units import DurationS, SocketAddress


class PoolerListenSettings(Section):
    """Addresses that the daemon listens on; metrics and peers, over UDP, are optional."""

    callers: SocketAddress
    readiness: SocketAddress
    metrics: SocketAddress | None = None
    peers: SocketAddress | None = None


class QuotaSettings(Section):
    """Terms on which the limits of accounts hold.

    Attributes:
        window: Length of the sliding window in seconds.
        overage: Part of the limit by which the operations in a window may exceed it.
        slack: Further operations by which they may exceed it.
    """

    window: DurationS
    overage: Annotated[float, Field(ge=0, allow_inf_nan=False)]
    slack: Annotated[float, Field(ge=0, allow_inf_nan=False)]


class PoolerSettings(Section):
    """Settings of one daemon in the pooler role.

    Attributes:
        vm: Name of the VM.
        place: Data centre in which the VM runs.
        regions: Region of each data centre.
        environment: Name of the registered adapter for callers, targets and the store.
        store: Address of the store.
        promotions: Address of the API that promotes targets.
        store_history: History retention of the store in seconds.
        stop_limit: Time limit for a shutdown in seconds.
        relay: Whether sessions of a group of which this VM reaches no majority are relayed to
            another VM, and sessions of other VMs are accepted; None to do so with adaptive
            admission only.
        log_level: Minimum level of log lines.
        admission: Mode of admission, or None for the one that `terms` asks for.
        terms: Words with which the platform asks for behaviour; the environment translates them.
        quotas: Terms of the quotas, or None for a deployment without quotas.
    """

    vm: Name
    place: Name
    regions: dict[str, str] = {}
    environment: Name
    listen: PoolerListenSettings
    store: SocketAddress
    promotions: SocketAddress
    store_history: DurationS = 20.0
    stop_limit: DurationS = 6.0
    relay: bool | None = None
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    admission: Admission | None = None
    terms: tuple[str, ...] = ()
    quotas: QuotaSettings | None = None


def load_pooler_settings(path: str | Path) -> Result[PoolerSettings, str]:
    """Load and validate a settings file; the error lists all problems."""
    try:
        document: Any = yaml.load(Path(path).read_text(encoding='utf-8'), UniqueKeyLoader)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Err(f'{path}: {error}')
    try:
        return Ok(PoolerSettings.model_validate(document))
    except ValidationError as error:
        problems = describe_validation_errors(str(path), error)
        return Err('\n'.join(str(problem) for problem in problems))
