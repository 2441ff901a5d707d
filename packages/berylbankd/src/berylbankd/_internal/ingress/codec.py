"""Requests and responses free of any header format; the platform adapter decodes the headers."""

from typing import NamedTuple, Protocol

HeaderList = list[tuple[bytes, bytes]]


class CallerRequest(NamedTuple):
    """The headers of a caller's request; ``deadline_ms`` is how long it waits, None if not sent."""

    request_id: bytes
    host: str
    key: str
    object_key: str
    deadline_ms: int | None


class ReportedLoad(NamedTuple):
    """The load that a backend server reports in a response."""

    running: int
    waiting: int
    slots: int


class ResponseFacts(NamedTuple):
    """The headers of a backend server's response.

    ``not_run`` is set where the server states that it did not run the request; ``misdirected``
    where the address belongs to another backend server now.
    """

    request_id: bytes
    signed: bool
    not_run: bool
    misdirected: bool
    load: ReportedLoad | None
    idle_timeout_ms: int | None
    closes_connection: bool


class DispatchFacts(NamedTuple):
    """What is sent to a backend server in addition to the caller's own headers."""

    server_id: str
    deadline_ms: int
    organisation: str | None


class HeaderCodec(Protocol):
    """Converts between headers and the types of this module."""

    def decode_request(self, headers: HeaderList) -> CallerRequest:
        """Decode a caller's headers."""

    def encode_request(self, headers: HeaderList, facts: DispatchFacts) -> HeaderList:
        """Return the headers for a backend server; the caller's API key is never among them."""

    def decode_response(self, status: int, headers: HeaderList) -> ResponseFacts:
        """Decode the headers of a backend server's response."""

    def encode_response(self, headers: HeaderList) -> HeaderList:
        """Return a backend server's headers without the hop-by-hop ones."""
