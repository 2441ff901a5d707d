"""Counters and histograms by OpenTelemetry, with bounded sets of labels."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

MAX_ORGANISATIONS = 200
OTHER = "other"
LATENCY_BOUNDS_MS = (1, 2, 3, 5, 8, 12, 20, 30, 50, 80, 120, 200, 500, 1_000, 3_000, 10_000)


class Metrics:
    """All instruments of one VM."""

    def __init__(self) -> None:
        view = View(
            instrument_name="berylbank.request.duration",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_MS),
        )
        self.provider = MeterProvider(metric_readers=[PrometheusMetricReader()], views=[view])
        meter = self.provider.get_meter("berylbankd")
        self.duration = meter.create_histogram("berylbank.request.duration", unit="ms")
        self.refusals = meter.create_counter("berylbank.refusals")
        self.lookups = meter.create_counter("berylbank.lookups")
        self.changes = meter.create_counter("berylbank.changes")
        self.organisations: set[str] = set()

    def record_request(
        self, organisation: str, traffic_class: str, status: int, duration_ms: float
    ) -> None:
        """Record one answered request."""
        labels = {
            "organisation": self._bounded(organisation),
            "class": traffic_class,
            "status": f"{status // 100}xx",
        }
        self.duration.record(duration_ms, labels)

    def count_refusal(self, organisation: str, kind: str) -> None:
        """Count one refusal by its kind."""
        self.refusals.add(1, {"organisation": self._bounded(organisation), "kind": kind})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def _bounded(self, organisation: str) -> str:
        if organisation in self.organisations:
            return organisation
        if len(self.organisations) >= MAX_ORGANISATIONS:
            return OTHER
        self.organisations.add(organisation)
        return organisation
