"""The baseline of the path bench: a plain reverse proxy with one shared httpx client.

It is the first version of the request path.
"""

import sys
from typing import Any

import anyio
import httpx

from berylbank_standins._internal.serving import serve_app


class BaselineProxy:
    """Reverse proxy to one backend server, without rate limits or coordination."""

    def __init__(self, backend: str) -> None:
        self.client = httpx.AsyncClient(
            base_url=f"http://{backend}", limits=httpx.Limits(max_connections=None), trust_env=False
        )

    async def __call__(self, scope: Any, _receive: Any, send: Any) -> None:
        """Forward one request and stream its response."""
        if scope["type"] != "http":
            return
        headers = [(n, v) for n, v in scope["headers"] if n not in (b"host", b"authorization")]
        request = self.client.build_request(
            scope["method"], scope["raw_path"].decode(), headers=headers
        )
        response = await self.client.send(request, stream=True)
        await send(
            {
                "type": "http.response.start",
                "status": response.status_code,
                "headers": [(n.lower(), v) for n, v in response.headers.raw],
            }
        )
        async for chunk in response.aiter_raw():
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})
        await response.aclose()


async def run(address: str, backend: str) -> None:
    """Serve until the process is killed."""
    await serve_app(BaselineProxy(backend), address, anyio.Event())


if __name__ == "__main__":
    anyio.run(run, sys.argv[1], sys.argv[2])
