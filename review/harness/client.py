"""Clients: send requests to machines of the system and note their answers."""

import asyncio
import json
import time
from typing import NamedTuple
from urllib.parse import urlencode

from harness import wire

CONNECT_TIMEOUT_S = 1.0


class Answer(NamedTuple):
    """A request, and its answer; ``status`` is 0 if there was none, and ``why`` tells why."""

    request_id: str
    machine: str
    first_line: str
    sent: float
    ended: float
    status: int
    signature: str
    body: bytes
    why: str = ""


async def send(
    machine: str,
    address: str,
    request_id: str,
    first_line: str,
    *,
    host: str,
    key: str,
    deadline_s: float,
    object_key: str = "",
    body: bytes = b"",
    more_headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a new connection."""
    sent = time.monotonic()
    headers = {
        "Host": host,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(int(deadline_s * 1000)),
        "X-Key": key,
        **(more_headers or {}),
    }
    if object_key:
        headers["Cookie"] = f"X-Affinity-Key={object_key}"
    status, signature, answer_body, why = 0, "", b"", ""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(deadline_s):
            ip, _, port = address.rpartition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(wire.encode(first_line, headers, body))
            message = await wire.read_message(reader)
            if message is None:
                raise ConnectionError("closed without an answer")
            status = int(message.first_line.split(" ")[1])
            signature = message.headers.get("x-server-signature", "")
            answer_body = message.body
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        why = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
    return Answer(
        request_id, machine, first_line, sent, time.monotonic(), status, signature, answer_body, why
    )


async def get(address: str, path: str, query: dict[str, str], timeout_s: float = 1.0) -> Answer:
    """Call one of the system's own interfaces."""
    target = f"{path}?{urlencode(query)}" if query else path
    return await send(
        "", address, "call", f"GET {target} HTTP/1.1", host="x", key="", deadline_s=timeout_s
    )


async def resolve(address: str, name: str, region: str, zone: str) -> list[str]:
    """Ask a machine's directory where to connect."""
    query = {"name": name, "region": region, "zone": zone}
    answer = await get(address, "/v1/resolve", query)
    if answer.status != 200:
        return []
    addresses: list[str] = json.loads(answer.body).get("addresses", [])
    return addresses
