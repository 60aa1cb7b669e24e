"""Implementation of `AdminBackend` for a `Node`, with pluggable providers."""

import time
from collections.abc import Callable, Mapping
from typing import Any

from absl import logging

from cassiaseam.daemon.node import Node
from cassiaseam.observability.metrics import MetricsRegistry
from cassiaseam.plans.store import PlanStore
from cassiaseam.settings.units import Address
from cassiaseam.timeline.buffer import TimelineBuffer, TimelinePage, TimelineQuery

StatusProvider = Callable[[Node, float], Any]
ReadinessProvider = Callable[[Node, float], str]
MetricsProvider = Callable[[Node, MetricsRegistry], None]

STATUS_SECTIONS: dict[str, StatusProvider] = {}


def register_status_section(section: str) -> Callable[[StatusProvider], StatusProvider]:
    """Register the provider `(node, now) -> JSON value` of one section of `/v1/status`."""

    def register(provider: StatusProvider) -> StatusProvider:
        STATUS_SECTIONS[section] = provider
        return provider

    return register


class NodeBackend:
    """Provides the administration API with the state of a node.

    Attributes:
        node: The daemon.
        vm: Name of the VM.
        plans: Plans in the platform's store.
        timeline: Timeline of this daemon.
        metrics: Metrics of this daemon.
        daemons: Returns the administration addresses of the other daemons.
        sections: Status sections in addition to `STATUS_SECTIONS`.
        readiness: Checks by name that return why the daemon is not ready, or '' if they pass.
        collectors: Functions that update gauges before metrics are rendered.
    """

    def __init__(
        self,
        node: Node,
        plans: PlanStore,
        timeline: TimelineBuffer,
        metrics: MetricsRegistry,
        daemons: Callable[[], Mapping[str, Address]] = dict,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.node = node
        self.vm = node.state.vm
        self.plans = plans
        self.timeline = timeline
        self.metrics = metrics
        self.daemons = daemons
        self.wall_clock = wall_clock
        self.started_at = node.clock()
        self.sections: dict[str, StatusProvider] = {}
        self.readiness: dict[str, ReadinessProvider] = {}
        self.collectors: list[MetricsProvider] = []

    def read_status(self) -> dict[str, Any]:
        """Return all sections; failing ones are logged and listed in `failed_sections`."""
        now = self.node.clock()
        status: dict[str, Any] = {
            'vm': self.vm,
            'place': self.node.state.place,
            'run': self.timeline.run,
            'uptime_s': round(now - self.started_at, 3),
            'wall_time': self.wall_clock(),
            'unready': self.find_unready_reasons(),
        }
        for name, provider in {**STATUS_SECTIONS, **self.sections}.items():
            try:
                status[name] = provider(self.node, now)
            except Exception:
                logging.exception('event=status_section_failed section=%s', name)
                status[name] = {}
                status.setdefault('failed_sections', []).append(name)
        return status

    def read_timeline(self, query: TimelineQuery) -> TimelinePage:
        """Return the timeline records of this daemon that match a query."""
        return self.timeline.read_page(query)

    def find_unready_reasons(self) -> list[str]:
        """Return the reasons of the failing readiness checks."""
        now = self.node.clock()
        found = ((name, check(self.node, now)) for name, check in self.readiness.items())
        return [f'{name}: {reason}' for name, reason in found if reason]

    def list_daemons(self) -> dict[str, Address]:
        """Return the administration addresses of the other daemons."""
        return {vm: address for vm, address in self.daemons().items() if vm != self.vm}

    def render_metrics(self) -> bytes:
        """Update the gauges and return all metrics in the Prometheus text format."""
        for collect in self.collectors:
            collect(self.node, self.metrics)
        return self.metrics.render_text()
