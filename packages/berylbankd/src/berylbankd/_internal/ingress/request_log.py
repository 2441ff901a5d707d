"""Writes a log line and updates the metrics for each request, and logs silent servers."""

import time
from typing import NamedTuple

from berylbankd._internal.logs import LogWriter
from berylbankd._internal.metrics import Metrics


class RequestRecord(NamedTuple):
    """The outcome of a request; the fields are those of its log line.

    ``servers`` lists the backend servers it was sent to, each with its rank and load when it was
    chosen; ``status`` is 0 if the caller disconnected before a response was sent;
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


class SilenceRecord(NamedTuple):
    """A backend server that was silent for as long as a request waits before it is retried.

    ``waited_ms`` is how long it was silent, ``remaining_ms`` the time until the request's deadline;
    ``next`` tells whether another server gets the request, or why not.
    """

    request_id: str
    route: str
    server: str
    waited_ms: int
    remaining_ms: int
    next: str


class RequestLog:
    """Records the outcome of each request in the metrics and in the log."""

    def __init__(self, metrics: Metrics, log_writer: LogWriter) -> None:
        self.metrics = metrics
        self.log_writer = log_writer

    def count_fault(self) -> None:
        """Count a request whose handling raised an unexpected error."""
        self.metrics.request_faults.add(1)

    def record(self, record: RequestRecord) -> None:
        """Update the metrics, and queue a log line if the rate limit of the log allows it."""
        self.metrics.record_request(
            record.organisation, record.kind, record.status, record.duration_ms
        )
        is_served = record.cause == "served"
        if not is_served:
            self.metrics.count_refusal(record.organisation, record.cause)
        if self.log_writer.take_request_line_token(not is_served):
            level = "INFO" if is_served else "WARNING"
            self.log_writer.enqueue_line(time.time(), level, "request", record._asdict())

    def record_connection_refusal(self, cause: str, request_id: str) -> None:
        """Count a connection that was ended before its request was admitted, and log it.

        In a flood of them, half of the lines are left to requests.
        """
        self.metrics.count_refusal("", cause)
        if self.log_writer.take_request_line_token(priority=False):
            fields = {"cause": cause, "request_id": request_id}
            self.log_writer.enqueue_line(time.time(), "WARNING", "connection ended", fields)

    def record_silence(self, record: SilenceRecord) -> None:
        """Queue a line on a silent server if the rate limit of the log allows it."""
        if self.log_writer.take_request_line_token(priority=True):
            self.log_writer.enqueue_line(
                time.time(), "WARNING", "backend server is silent", record._asdict()
            )
