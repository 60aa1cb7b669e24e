"""Implementation of `AdminBackend` over a `Node`, with pluggable providers."""

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


def provides_status(section: str) -> Callable[[StatusProvider], StatusProvider]:
    """Register the function `(node, now) -> JSON value` of one section of `/v1/status`."""

    def register(provider: StatusProvider) -> StatusProvider:
        STATUS_SECTIONS[section] = provider
        return provider

    return register


class NodeBackend:
    """Reads from a node what the administration API shows.

    Attributes:
        node: The daemon.
        vm: Name of the VM.
        plans: Plans in the platform's store.
        timeline: Records of this daemon.
        metrics: Metrics of this daemon.
        daemons: Returns the administration addresses of the other daemons.
        sections: Status sections of this backend beyond `STATUS_SECTIONS`.
        readiness: Checks that return a reason, or '' when they pass.
        collectors: Called before metrics are rendered, to set gauges.
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
        """Return all sections; one that fails is shown as failed and logged."""
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
        """Return the records of this daemon that match a query."""
        return self.timeline.read_page(query)

    def find_unready_reasons(self) -> list[str]:
        """Return the reasons of the checks that do not pass."""
        now = self.node.clock()
        found = ((name, check(self.node, now)) for name, check in self.readiness.items())
        return [f'{name}: {reason}' for name, reason in found if reason]

    def list_daemons(self) -> dict[str, Address]:
        """Return the administration addresses of the other daemons."""
        return {vm: address for vm, address in self.daemons().items() if vm != self.vm}

    def render_metrics(self) -> bytes:
        """Return the metrics after the collectors have set their gauges."""
        for collect in self.collectors:
            collect(self.node, self.metrics)
        return self.metrics.render_text()
