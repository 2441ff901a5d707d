"""OpenTelemetry counters and histograms; the number of label values is limited."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

MAX_ORGANISATIONS = 200
OTHER_LABEL = "other"
LATENCY_BOUNDS_MS = (1, 2, 3, 5, 8, 12, 20, 30, 50, 80, 120, 200, 500, 1_000, 3_000, 10_000)


class Metrics:
    """All metrics of one VM."""

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
        """Record the duration of one answered request."""
        labels = {
            "organisation": self._limit_label(organisation),
            "class": traffic_class,
            "status": f"{status // 100}xx",
        }
        self.duration.record(duration_ms, labels)

    def count_refusal(self, organisation: str, kind: str) -> None:
        """Count one refused request by the kind of refusal."""
        self.refusals.add(1, {"organisation": self._limit_label(organisation), "kind": kind})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def _limit_label(self, organisation: str) -> str:
        if organisation in self.organisations:
            return organisation
        if len(self.organisations) >= MAX_ORGANISATIONS:
            return OTHER_LABEL
        self.organisations.add(organisation)
        return organisation
