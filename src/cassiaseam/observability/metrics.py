"""Prometheus metrics of one daemon with bounded cardinality."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Histogram, Registry, render

MAX_LABEL_SETS = 500
OTHER = 'other'
LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class MetricType(enum.Enum):
    """Prometheus metric types."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """Definition of one metric.

    Attributes:
        name: Prometheus name, including the unit.
        help_text: Help text.
        type: Metric type.
        labels: Label names; every update must set all of them.
        max_label_sets: Maximum number of label sets; updates of further ones count as `other`.
        buckets: Upper bounds of the buckets of a histogram.
    """

    name: str
    help_text: str
    type: MetricType
    labels: tuple[str, ...] = ()
    max_label_sets: int = MAX_LABEL_SETS
    buckets: tuple[float, ...] = LATENCY_BUCKETS_S


class MetricsRegistry:
    """All metrics of one daemon.

    Attributes:
        specs: Definitions by metric name.
        registry: Registry of the aioprometheus collectors.
    """

    def __init__(self) -> None:
        self.specs: dict[str, MetricSpec] = {}
        self.registry = Registry()
        self.collectors: dict[str, Counter | Gauge | Histogram] = {}
        self.label_sets: dict[str, set[tuple[str, ...]]] = {}

    def define_metric(self, spec: MetricSpec) -> None:
        """Define a metric.

        Raises:
            ValueError: The name is already in use.
        """
        if spec.name in self.specs:
            raise ValueError(f'metric {spec.name!r} is defined twice')
        collector = _build_collector(spec, self.registry)
        self.specs[spec.name] = spec
        self.collectors[spec.name] = collector
        self.label_sets[spec.name] = set()

    def add_to_counter(self, name: str, amount: float = 1, /, **labels: str) -> None:
        """Increment a counter; raises `LookupError` for an undefined metric or label."""
        self.collectors[name].add(self._bound_labels(name, labels), amount)

    def set_gauge(self, name: str, amount: float, /, **labels: str) -> None:
        """Set a gauge; raises `LookupError` for an undefined metric or label."""
        self.collectors[name].set(self._bound_labels(name, labels), amount)

    def reset_gauge(self, name: str) -> None:
        """Remove all label sets of a gauge."""
        self.collectors[name].values.clear()
        self.label_sets[name].clear()

    def observe_value(self, name: str, amount: float, /, **labels: str) -> None:
        """Record a value in a histogram; raises `LookupError` for an undefined metric or label."""
        self.collectors[name].add(self._bound_labels(name, labels), amount)

    def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render(self.registry, ('text/plain',))[0]

    def _bound_labels(self, name: str, labels: dict[str, str]) -> dict[str, str]:
        spec = self.specs[name]
        if set(labels) != set(spec.labels):
            raise LookupError(f'metric {name!r} has labels {spec.labels}, not {tuple(labels)}')
        chosen = tuple(str(labels[label]) for label in spec.labels)
        known = self.label_sets[name]
        if chosen not in known and len(known) >= spec.max_label_sets:
            chosen = (OTHER,) * len(spec.labels)
        known.add(chosen)
        return dict(zip(spec.labels, chosen, strict=True))


def _build_collector(spec: MetricSpec, registry: Registry) -> Counter | Gauge | Histogram:
    # Collectors register themselves, by default in a registry shared by the whole process.
    if spec.type is MetricType.COUNTER:
        return Counter(spec.name, spec.help_text, registry=registry)
    if spec.type is MetricType.GAUGE:
        return Gauge(spec.name, spec.help_text, registry=registry)
    buckets = list(spec.buckets)
    return Histogram(spec.name, spec.help_text, registry=registry, buckets=buckets)


def define_metrics(registry: MetricsRegistry, specs: Sequence[MetricSpec]) -> None:
    """Define several metrics."""
    for spec in specs:
        registry.define_metric(spec)
