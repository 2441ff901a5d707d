"""Request and response metadata, independent of the header names that the platform uses.

The :class:`HeaderCodec` of the platform package decodes and encodes the headers.
"""

from typing import NamedTuple, Protocol

from berylbankd._internal.models.types import ServerNotices

HeaderList = list[tuple[bytes, bytes]]


class RequestMetadata(NamedTuple):
    """What the headers of a caller's request say.

    ``key`` is the API key. ``deadline_ms`` is how long the caller waits for the response, None if
    it sent no deadline. ``ambiguous`` means that a field is repeated of which only one can hold.
    """

    request_id: bytes
    host: str
    key: str
    object_key: str
    deadline_ms: int | None
    ambiguous: bool = False


class ReportedLoad(NamedTuple):
    """The load that a backend server reports in a response, and the number of its slots."""

    running: int
    waiting: int
    slots: int


class ResponseMetadata(NamedTuple):
    """What the headers of a backend server's response say.

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
    notices: ServerNotices


class DispatchMetadata(NamedTuple):
    """What is sent to a backend server in addition to the caller's own headers.

    ``deadline_ms`` is the time left for the response.
    """

    server_id: str
    deadline_ms: int
    organisation: str | None


class HeaderCodec(Protocol):
    """Converts between HTTP headers and the types of this module."""

    def decode_request(self, headers: HeaderList) -> RequestMetadata:
        """Decode the headers of a caller's request."""

    def encode_request(self, headers: HeaderList, metadata: DispatchMetadata) -> HeaderList:
        """Return the headers for a backend server; the caller's API key is never among them."""

    def decode_response(self, status: int, headers: HeaderList) -> ResponseMetadata:
        """Decode the headers of a backend server's response."""

    def encode_response(self, headers: HeaderList) -> HeaderList:
        """Return a backend server's headers without the hop-by-hop ones."""
