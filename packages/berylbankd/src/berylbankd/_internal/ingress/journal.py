"""What became of each request: one log line, and the metrics."""

import time
from typing import NamedTuple

from berylbankd._internal.logs import LogWriter
from berylbankd._internal.metrics import Metrics


class RequestRecord(NamedTuple):
    """One request's end, with the inputs that decided it.

    ``servers`` are those that were sent it, each with the rank and the load that it was chosen by;
    ``status`` is 0 where nobody was left to answer; ``configuration`` is the version in force.
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


class RequestJournal:
    """Records requests."""

    def __init__(self, metrics: Metrics, logs: LogWriter) -> None:
        self.metrics = metrics
        self.logs = logs

    def record(self, record: RequestRecord) -> None:
        """Record a request that has ended."""
        self.metrics.record_request(
            record.organisation, record.kind, record.status, record.duration_ms
        )
        served = record.cause == "served"
        if not served:
            self.metrics.count_refusal(record.organisation, record.cause)
        if self.logs.may_log_request(not served):
            level = "INFO" if served else "WARNING"
            self.logs.enqueue_line(time.time(), level, "request", record._asdict())
