"""OpenTelemetry metrics of one VM, with a limit on the number of organisations in labels."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

MAX_ORGANISATION_LABELS = 200
OTHER_ORGANISATIONS_LABEL = "other"
DURATION_BUCKET_BOUNDS_MS = (1, 2, 3, 5, 8, 12, 20, 30, 50, 80, 120, 200, 500, 1_000, 3_000, 10_000)


class Metrics:
    """All metrics of one VM.

    The first ``MAX_ORGANISATION_LABELS`` organisations get a label value of their own, further ones
    share ``OTHER_ORGANISATIONS_LABEL``.
    """

    def __init__(self) -> None:
        duration_view = View(
            instrument_name="berylbank.request.duration",
            aggregation=ExplicitBucketHistogramAggregation(DURATION_BUCKET_BOUNDS_MS),
        )
        departure_view = View(
            instrument_name="berylbank.server.departure.delay",
            aggregation=ExplicitBucketHistogramAggregation(DURATION_BUCKET_BOUNDS_MS),
        )
        self.provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()], views=[duration_view, departure_view]
        )
        meter = self.provider.get_meter("berylbankd")
        self.duration = meter.create_histogram("berylbank.request.duration", unit="ms")
        # From the news that a backend server leaves to the last request sent to it; 0 if none was.
        self.departure_delay = meter.create_histogram("berylbank.server.departure.delay", unit="ms")
        self.refusals = meter.create_counter("berylbank.refusals")
        self.request_faults = meter.create_counter("berylbank.request.faults")
        self.lookups = meter.create_counter("berylbank.lookups")
        self.changes = meter.create_counter("berylbank.changes")
        self.labelled_organisations: set[str] = set()

    def record_request(
        self, organisation: str, traffic_class: str, status: int, duration_ms: float
    ) -> None:
        """Record the duration of one request, by organisation, traffic class and kind of status."""
        labels = {
            "organisation": self._limit_organisation_label(organisation),
            "class": traffic_class,
            "status": f"{status // 100}xx",
        }
        self.duration.record(duration_ms, labels)

    def count_refusal(self, organisation: str, kind: str) -> None:
        """Count one request that was not served, by the kind of refusal or the cause."""
        self.refusals.add(
            1, {"organisation": self._limit_organisation_label(organisation), "kind": kind}
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def _limit_organisation_label(self, organisation: str) -> str:
        if organisation in self.labelled_organisations:
            return organisation
        if len(self.labelled_organisations) >= MAX_ORGANISATION_LABELS:
            return OTHER_ORGANISATIONS_LABEL
        self.labelled_organisations.add(organisation)
        return organisation
