"""Writes a log line and updates the metrics for each request."""

import time
from typing import NamedTuple

from berylbankd._internal.logs import LogWriter
from berylbankd._internal.metrics import Metrics


class RequestRecord(NamedTuple):
    """The outcome of a request and what led to it.

    ``servers`` lists the backend servers it was sent to, each with the rank and the load by which
    it was chosen; ``status`` is 0 if the caller disconnected before a response was sent;
    ``configuration`` is the configuration version in force.
    """

    request_id: str
    route: str
    kind: str
    organisation: str
    object_key: str
    servers: tuple[str, ...]
    status: int
    cause: str
    failure: str
    duration_ms: int
    configuration: int


class RequestLog:
    """Records the outcome of requests."""

    def __init__(self, metrics: Metrics, logs: LogWriter) -> None:
        self.metrics = metrics
        self.logs = logs

    def record(self, record: RequestRecord) -> None:
        """Update the metrics, and write the log line if the log's limit allows it."""
        self.metrics.record_request(
            record.organisation, record.kind, record.status, record.duration_ms
        )
        served = record.cause == "served"
        if not served:
            self.metrics.count_refusal(record.organisation, record.cause)
        if self.logs.may_log_request(not served):
            level = "INFO" if served else "WARNING"
            self.logs.enqueue_line(time.time(), level, "request", record._asdict())
