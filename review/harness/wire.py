"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from typing import NamedTuple

MAX_HEAD_BYTES = 131_072


class Message(NamedTuple):
    """The first line, the headers (with lower-case names) and the body of a message."""

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    first_line, headers = head
    return Message(first_line, headers, await read_body(reader, headers))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of the next message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended in a head") from None
        return None
    first_line, *lines = head.decode("latin-1")[:-4].split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first_line, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body that the headers announce."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await _read_chunks(reader)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError:
        raise ConnectionError("the connection ended in a body") from None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message whose body has a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    if body or first_line.startswith("HTTP/"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
