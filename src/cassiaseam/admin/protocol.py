"""Interface that the administration API requires of a daemon."""

from typing import Any, Protocol

from cassiaseam.plans.store import PlanStore
from cassiaseam.settings.units import Address
from cassiaseam.timeline.buffer import TimelinePage, TimelineQuery


class AdminBackend(Protocol):
    """Access of the administration API to a daemon.

    Attributes:
        vm: Name of the VM.
        plans: Plans in the platform's store.
    """

    vm: str
    plans: PlanStore

    def read_status(self) -> dict[str, Any]:
        """Return the status of this daemon as JSON; `databases` is a mapping by name."""

    def read_timeline(self, query: TimelineQuery) -> TimelinePage:
        """Return the timeline records of this daemon that match a query."""

    def find_unready_reasons(self) -> list[str]:
        """Return why the daemon should receive no new callers; empty if it is ready."""

    def list_daemons(self) -> dict[str, Address]:
        """Return the administration addresses of the other daemons by VM."""

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
