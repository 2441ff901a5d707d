"""Requests and answers as the decisions see them; headers are decoded by the platform adapter."""

from typing import NamedTuple, Protocol

HeaderList = list[tuple[bytes, bytes]]


class CallerRequest(NamedTuple):
    """What a caller says of its request; ``deadline_ms`` is how long it will wait, if told."""

    request_id: bytes
    host: str
    key: str
    object_key: str
    deadline_ms: int | None


class ReportedLoad(NamedTuple):
    """What a backend server says of its load."""

    running: int
    waiting: int
    slots: int


class AnswerFacts(NamedTuple):
    """What the headers of an answer say.

    ``not_run`` is the server's word that it did not run the request; ``other_server`` that the
    address belongs to another backend server now.
    """

    request_id: bytes
    signed: bool
    not_run: bool
    other_server: bool
    load: ReportedLoad | None
    idle_timeout_ms: int | None
    closing: bool


class DispatchFacts(NamedTuple):
    """What is told to a backend server beside the caller's own headers."""

    server_id: str
    deadline_ms: int
    organisation: str | None


class HeaderCodec(Protocol):
    """Decodes and encodes the headers that carry these facts."""

    def decode_request(self, headers: HeaderList) -> CallerRequest:
        """Read a caller's headers."""

    def encode_request(self, headers: HeaderList, facts: DispatchFacts) -> HeaderList:
        """Return the headers for a backend server; the caller's key is never among them."""

    def decode_answer(self, status: int, headers: HeaderList) -> AnswerFacts:
        """Read the headers of a backend server's answer."""

    def encode_answer(self, headers: HeaderList) -> HeaderList:
        """Return a backend server's headers without those of one connection."""
