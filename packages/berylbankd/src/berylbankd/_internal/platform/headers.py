"""Decodes and encodes the headers between callers, VMs and backend servers."""

import re
from http.cookies import CookieError, SimpleCookie

from berylbank._internal.utils.http_headers import HOP_BY_HOP, named_in_connection
from berylbankd._internal.ingress.codec import (
    CallerRequest,
    DispatchFacts,
    HeaderList,
    ReportedLoad,
    ResponseFacts,
)
from berylbankd._internal.platform import names

# Set by us, or meant for us alone.
OWN_HEADERS = frozenset(
    {names.KEY, names.ORGANISATION, names.DEADLINE_MS, names.EXPECTED_SERVER, b"content-length"}
)
MISDIRECTED_STATUS = 421
IDLE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


class PlatformHeaders:
    """The header codec of the users' platform; see :class:`HeaderCodec`."""

    def decode_request(self, headers: HeaderList) -> CallerRequest:
        """Read a caller's headers."""
        found = dict(headers)
        return CallerRequest(
            request_id=found.get(names.REQUEST_ID, b""),
            host=found.get(b"host", b"").decode("latin-1").lower(),
            key=found.get(names.KEY, b"").decode("latin-1"),
            object_key=_object_key(found.get(b"cookie", b"")),
            deadline_ms=_whole_ms(found.get(names.DEADLINE_MS)),
        )

    def encode_request(self, headers: HeaderList, facts: DispatchFacts) -> HeaderList:
        """Return the headers for a backend server, without any body length."""
        dropped = HOP_BY_HOP | OWN_HEADERS | named_in_connection(headers)
        kept = [(name, value) for name, value in headers if name not in dropped]
        kept.append((names.DEADLINE_MS, str(max(1, facts.deadline_ms)).encode()))
        kept.append((names.EXPECTED_SERVER, facts.server_id.encode()))
        if facts.organisation is not None:
            kept.append((names.ORGANISATION, facts.organisation.encode()))
        return kept

    def decode_response(self, status: int, headers: HeaderList) -> ResponseFacts:
        """Read the headers of a backend server's answer."""
        found = dict(headers)
        other = status == MISDIRECTED_STATUS
        return ResponseFacts(
            request_id=found.get(names.REQUEST_ID, b""),
            signed=names.SIGNATURE in found,
            not_run=names.NOT_RUN in found or other,
            misdirected=other,
            load=_load(found.get(names.LOAD)),
            idle_timeout_ms=_idle_timeout_ms(found.get(b"keep-alive")),
            closes_connection=b"close" in found.get(b"connection", b"").lower(),
        )

    def encode_response(self, headers: HeaderList) -> HeaderList:
        """Return a backend server's headers without those of one connection."""
        dropped = HOP_BY_HOP | named_in_connection(headers)
        return [(name, value) for name, value in headers if name not in dropped]


def _object_key(cookie: bytes) -> str:
    if not cookie:
        return ""
    try:
        found = SimpleCookie(cookie.decode("latin-1")).get(names.OBJECT_COOKIE)
    except CookieError:
        return ""
    return found.value if found is not None else ""


def _whole_ms(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value)


def _load(value: bytes | None) -> ReportedLoad | None:
    parts = (value or b"").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ReportedLoad(running, waiting, slots)


def _idle_timeout_ms(value: bytes | None) -> int | None:
    match = IDLE_TIMEOUT.search(value or b"")
    return int(match.group(1)) * 1000 if match else None
