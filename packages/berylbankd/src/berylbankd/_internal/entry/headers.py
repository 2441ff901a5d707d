"""Selects the headers that are forwarded between callers and backend servers."""

from berylbank._internal.utils.http_headers import HOP_BY_HOP_HEADERS, connection_options
from berylbankd._internal.entry.exchange import Exchange, HeaderList

RESERVED_PREFIX = b"x-berylbank-"
NEVER_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"authorization",
    b"content-length",
    b"host",
    b"x-request-id",
}
NOT_RUN_HEADER = b"not-run"
ORGANISATION_HEADER = b"x-berylbank-organisation"
DEADLINE_HEADER = b"x-berylbank-deadline-ms"


def make_backend_request_headers(exchange: Exchange, address: str, deadline_ms: int) -> HeaderList:
    """Return the headers for the backend server.

    The API key and any identity headers of the caller are removed; the organisation is the one
    that owns the key. ``deadline_ms`` is the time left for the response.
    """
    listed_in_connection = connection_options(exchange.headers)
    headers: HeaderList = [(b"host", address.encode())]
    for name, value in exchange.headers:
        if (
            name in NEVER_FORWARDED_HEADERS
            or name in listed_in_connection
            or name.startswith(RESERVED_PREFIX)
        ):
            continue
        headers.append((name, value))
    headers.append((b"x-request-id", exchange.request_id.encode()))
    headers.append((DEADLINE_HEADER, str(deadline_ms).encode()))
    if exchange.key_grant is not None:
        headers.append((ORGANISATION_HEADER, exchange.key_grant.organisation.encode()))
    if exchange.body_complete:
        if exchange.body or exchange.method not in ("GET", "HEAD", "OPTIONS"):
            headers.append((b"content-length", str(len(exchange.body)).encode()))
    else:
        headers.append(make_body_length_header(exchange.headers))
    return headers


def make_body_length_header(headers: HeaderList) -> tuple[bytes, bytes]:
    """Return the header that frames a streamed body: its length if known, or chunked encoding."""
    for name, value in headers:
        if name == b"content-length":
            return name, value
    return b"transfer-encoding", b"chunked"


def make_caller_response_headers(
    headers: tuple[tuple[bytes, bytes], ...], request_id: str, close_connection: bool
) -> HeaderList:
    """Return the response headers for the caller, without the hop-by-hop headers."""
    listed_in_connection = connection_options(headers)
    kept = [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in listed_in_connection
    ]
    kept.append((b"x-request-id", request_id.encode()))
    if close_connection:
        kept.append((b"connection", b"close"))
    return kept


def states_not_run(status: int, headers: tuple[tuple[bytes, bytes], ...]) -> bool:
    """Tell whether the backend server states that it refused the request without running it."""
    return status == 503 and any(
        name == NOT_RUN_HEADER and value == b"true" for name, value in headers
    )
