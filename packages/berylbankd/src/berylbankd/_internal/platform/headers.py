"""Decodes and encodes the HTTP headers between callers, VMs and backend servers."""

import math
import re

from berylbank._internal.utils.http_headers import HOP_BY_HOP_HEADERS, connection_options
from berylbankd._internal.ingress.codec import (
    DispatchMetadata,
    HeaderList,
    ReportedLoad,
    RequestMetadata,
    ResponseMetadata,
)
from berylbankd._internal.models.types import ServerNotices
from berylbankd._internal.platform import names

# Headers of a caller's request that are not forwarded: those that berylbank sets itself, and those
# that are meant for berylbank alone.
STRIPPED_HEADERS = frozenset(
    {
        names.API_KEY_HEADER,
        names.ORGANISATION_HEADER,
        names.DEADLINE_MS_HEADER,
        names.EXPECTED_SERVER_HEADER,
        b"content-length",
    }
)
# Headers of which a caller's request has one at most. A backend server may take another one of
# several than this VM does.
SINGLE_HEADERS = (
    names.REQUEST_ID_HEADER,
    names.API_KEY_HEADER,
    names.DEADLINE_MS_HEADER,
    b"host",
)
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Longer numbers are invalid: the interpreter refuses to convert those of thousands of digits, and
# arithmetic with floating-point numbers fails from some hundred on.
MAX_NUMBER_DIGITS = 15
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout\s*=\s*(\d+)")


class PlatformHeaderCodec:
    """Header codec of the users' platform; see :class:`HeaderCodec`."""

    def decode_request(self, headers: HeaderList) -> RequestMetadata:
        """Decode the headers of a caller's request."""
        by_name = dict(headers)
        return RequestMetadata(
            request_id=by_name.get(names.REQUEST_ID_HEADER, b""),
            host=by_name.get(b"host", b"").decode("latin-1").lower(),
            key=by_name.get(names.API_KEY_HEADER, b"").decode("latin-1"),
            object_key=_parse_object_key(by_name.get(b"cookie", b"")),
            deadline_ms=_parse_integer(by_name.get(names.DEADLINE_MS_HEADER)),
            ambiguous=len(by_name) < len(headers) and _repeats_single_header(headers),
        )

    def encode_request(self, headers: HeaderList, metadata: DispatchMetadata) -> HeaderList:
        """Return the headers of the request to a backend server, without ``content-length``."""
        dropped = HOP_BY_HOP_HEADERS | STRIPPED_HEADERS | connection_options(headers)
        kept = [(name, value) for name, value in headers if name not in dropped]
        kept.append((names.DEADLINE_MS_HEADER, str(max(1, metadata.deadline_ms)).encode()))
        kept.append((names.EXPECTED_SERVER_HEADER, metadata.server_id.encode()))
        if metadata.organisation is not None:
            kept.append((names.ORGANISATION_HEADER, metadata.organisation.encode()))
        return kept

    def decode_response(self, status: int, headers: HeaderList) -> ResponseMetadata:
        """Decode the headers of a backend server's response."""
        by_name = dict(headers)
        misdirected = status == MISDIRECTED_STATUS
        return ResponseMetadata(
            request_id=by_name.get(names.REQUEST_ID_HEADER, b""),
            signed=names.SIGNATURE_HEADER in by_name,
            not_run=names.NOT_EXECUTED_HEADER in by_name or misdirected,
            misdirected=misdirected,
            load=_parse_load(by_name.get(names.LOAD_HEADER)),
            idle_timeout_ms=_parse_idle_timeout_ms(by_name.get(b"keep-alive")),
            closes_connection=b"close" in by_name.get(b"connection", b"").lower(),
            notices=ServerNotices(
                leaving=by_name.get(names.LEAVING_HEADER, b"").strip() == b"1",
                pause_ms=(
                    _parse_seconds(by_name.get(b"retry-after"))
                    if status == UNAVAILABLE_STATUS
                    else None
                ),
                limit_per_s=_parse_rate(by_name.get(names.LIMIT_HEADER)),
            ),
        )

    def encode_response(self, headers: HeaderList) -> HeaderList:
        """Return a backend server's response headers without the hop-by-hop headers."""
        dropped = HOP_BY_HOP_HEADERS | connection_options(headers)
        return [(name, value) for name, value in headers if name not in dropped]


def _repeats_single_header(headers: HeaderList) -> bool:
    found = [name for name, _ in headers if name in SINGLE_HEADERS]
    return len(found) > len(set(found))


def _parse_object_key(cookie: bytes) -> str:
    """Return the value of the object key's cookie without quotes, or an empty string.

    Escapes in it are kept: the key is only compared. The standard library's parser takes a time
    that grows with the square of the number of escapes.
    """
    for pair in cookie.decode("latin-1").split(";"):
        name, separator, value = pair.partition("=")
        if separator and name.strip() == names.OBJECT_KEY_COOKIE:
            return value.strip().removeprefix('"').removesuffix('"')
    return ""


def _parse_integer(value: bytes | None) -> int | None:
    """Return a number without a sign, or None if there is no valid one of sensible length."""
    if value is None or not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        return None
    return int(value)


def _parse_seconds(value: bytes | None) -> int | None:
    """Return a number of seconds in milliseconds, or None if there is no valid one."""
    milliseconds = _parse_number(value) * 1000
    return int(milliseconds) if math.isfinite(milliseconds) and milliseconds >= 0 else None


def _parse_rate(value: bytes | None) -> float | None:
    """Return a number of requests per second, or None if there is no valid one."""
    rate_per_s = _parse_number(value)
    return rate_per_s if math.isfinite(rate_per_s) and rate_per_s > 0 else None


def _parse_number(value: bytes | None) -> float:
    """Return a decimal number, or not-a-number for anything else."""
    try:
        return float(value or b"")
    except ValueError:
        return math.nan


def _parse_load(value: bytes | None) -> ReportedLoad | None:
    parts = (value or b"").split(b",")
    numbers = [_parse_integer(part.strip()) for part in parts]
    valid = [number for number in numbers if number is not None]
    return ReportedLoad(*valid) if len(numbers) == len(valid) == 3 else None


def _parse_idle_timeout_ms(value: bytes | None) -> int | None:
    match = KEEP_ALIVE_TIMEOUT_PATTERN.search(value or b"")
    timeout_s = _parse_integer(match.group(1)) if match else None
    return timeout_s * 1000 if timeout_s is not None else None
