"""Minimal HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response: the first line split at spaces, the headers and the body."""

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the first line and the headers; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers, b"")


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks; without either it is empty."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; return None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        return head._replace(body=await read_body(reader, head.headers))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    reason = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "-")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request; a POST always has a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def request(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> Message | None:
    """Send one request on a new connection; return None if it closes without a whole answer."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
    except (OSError, TimeoutError):
        return None
    try:
        writer.write(encode_request(method, target, headers, body))
        return await read_message(reader)
    except ConnectionError:
        return None
    finally:
        writer.close()
