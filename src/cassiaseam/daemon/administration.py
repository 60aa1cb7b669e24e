"""Administration API of the daemon, with its readiness checks and role metrics."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from cassiaseam.admin.service import AdminService
from cassiaseam.daemon.role_metrics import add_role_metrics
from cassiaseam.settings.loader import Secrets
from cassiaseam.settings.model import Settings
from cassiaseam.timeline.buffer import TimelineBuffer

if TYPE_CHECKING:
    from cassiaseam.daemon.runtime import Runtime


@dataclass(frozen=True, slots=True)
class AdministrationSettings:
    """Settings of the administration API.

    Attributes:
        settings: Settings of the daemon.
        secrets: Contents of the secret files.
    """

    settings: Settings
    secrets: Secrets


def build_admin_service(
    runtime: 'Runtime', admin_settings: AdministrationSettings, reactor: Any
) -> AdminService:
    """Return the administration API of a daemon."""
    node = runtime.node
    service = AdminService(
        node,
        admin_settings.settings,
        admin_settings.secrets,
        runtime.peers.client,
        node.services[TimelineBuffer],
        lambda: runtime.peers.loops.listed if runtime.peers.loops else (),
        reactor,
    )
    backend = service.backend
    backend.collectors.append(add_role_metrics(runtime, backend.metrics).collect)
    backend.readiness['callers'] = lambda _node, _now: runtime.find_unready_reason()
    return service
