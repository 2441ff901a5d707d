"""Callers with persistent connections, and a record of each of their requests."""

import itertools
import json
import random
import time
from typing import NamedTuple

import anyio
import httpx
from slow_links import SlowCaller
from steering_fleet import SteeringFleet, Vm

CALLER_COUNT = 6
# Callers that read so slowly that most of a response waits in the VM.
SLOW_CALLER_COUNT = 12
SLOW_READ_BYTES_PER_S = 200_000.0
PAUSE_RANGE_S = (0.01, 0.08)
DEADLINE_MS = 3_000
CLIENT_TIMEOUT_S = 4.0
# Timeout of the routes to which the callers send.
ROUTE_TIMEOUT_S = 2.0
OBJECT_COUNT = 30


class RequestRecord(NamedTuple):
    """One request and its outcome.

    ``status`` is 0 and ``failure`` names the client's exception if no complete response arrived.
    ``signed`` tells whether the response is a backend server's. Times are those of the monotonic
    clock.
    """

    request_id: str
    key: str
    unsafe: bool
    vm: str
    sent_s: float
    ended_s: float
    status: int
    failure: str
    valid: bool
    signed: bool = False


class Callers:
    """Sends requests to all VMs until :attr:`stopping` is set.

    ``unsafe_share`` of them are bookings and ``download_share`` downloads, the others reads.
    """

    def __init__(self, fleet: SteeringFleet, keys: tuple[str, ...], seed: int) -> None:
        self.fleet = fleet
        self.keys = keys
        self.rng = random.Random(seed)
        self.request_numbers = itertools.count()
        self.records: list[RequestRecord] = []
        self.stopping = False
        self.unsafe_share, self.download_share = 0.4, 0.0
        self.object_count = OBJECT_COUNT

    async def run(self) -> None:
        """Send requests until :attr:`stopping` is set, then wait for the last responses."""
        async with anyio.create_task_group() as group:
            for _ in range(CALLER_COUNT):
                group.start_soon(self._run_caller)
            for _ in range(SLOW_CALLER_COUNT):
                group.start_soon(self._run_slow_caller)

    async def send(self, client: httpx.AsyncClient, vm: Vm, key: str) -> RequestRecord:
        """Send one request of a random kind, and record its outcome."""
        drawn = self.rng.random()
        unsafe = drawn < self.unsafe_share
        request_id, headers = self._make_headers(key)
        method, path = ("POST", "/books/x") if unsafe else ("GET", "/reads/x")
        if not unsafe and drawn < self.unsafe_share + self.download_share:
            path = "/files/x"
        sent_s = time.monotonic()
        status, failure, valid, signed = 0, "", True, False
        try:
            response = await client.request(
                method,
                self.fleet.url(vm, path),
                headers=headers,
                content=b"a booking" if unsafe else None,
            )
            status, valid = response.status_code, is_valid_response(response, request_id)
            signed = "x-server-signature" in response.headers
        except httpx.HTTPError as error:
            failure = type(error).__name__
        ended_s = time.monotonic()
        record = RequestRecord(
            request_id, key, unsafe, vm.name, sent_s, ended_s, status, failure, valid, signed
        )
        self.records.append(record)
        return record

    async def send_and_read_slowly(self, vm: Vm, key: str) -> None:
        """Send a read on a new connection, read its response slowly, and record its outcome."""
        request_id, headers = self._make_headers(key)
        sent_s = time.monotonic()
        caller = SlowCaller(vm.ip, self.fleet.http_port, SLOW_READ_BYTES_PER_S)
        status, failure, valid, signed = 0, "", True, False
        try:
            with anyio.fail_after(CLIENT_TIMEOUT_S):
                await caller.connect()
                received = await caller.request("GET", "/reads/x", headers)
            if received.end == "whole":
                response = httpx.Response(
                    received.status, headers=received.headers, content=received.body
                )
                status, valid = received.status, is_valid_response(response, request_id)
                signed = "x-server-signature" in received.headers
            else:
                failure = f"{received.end} after {len(received.body)} bytes"
        except (OSError, TimeoutError) as error:
            failure = type(error).__name__
        finally:
            caller.close()
        ended_s = time.monotonic()
        self.records.append(
            RequestRecord(
                request_id, key, False, vm.name, sent_s, ended_s, status, failure, valid, signed
            )
        )

    def _make_headers(self, key: str) -> tuple[str, dict[str, str]]:
        request_id = f"soak{next(self.request_numbers):08d}"
        return request_id, {
            "host": "a.example",
            "x-key": key,
            "x-request-id": request_id,
            "x-deadline-ms": str(DEADLINE_MS),
            "cookie": f"X-Affinity-Key=o{self.rng.randrange(self.object_count)}",
        }

    async def _run_slow_caller(self) -> None:
        while not self.stopping:
            vm = self.rng.choice(self.fleet.vms)
            await self.send_and_read_slowly(vm, self.rng.choice(self.keys))
            await anyio.sleep(self.rng.uniform(*PAUSE_RANGE_S))

    async def _run_caller(self) -> None:
        async with httpx.AsyncClient(
            verify=False, timeout=CLIENT_TIMEOUT_S, trust_env=False
        ) as client:
            while not self.stopping:
                vm = self.rng.choice(self.fleet.vms)
                await self.send(client, vm, self.rng.choice(self.keys))
                await anyio.sleep(self.rng.uniform(*PAUSE_RANGE_S))


def is_valid_response(response: httpx.Response, request_id: str) -> bool:
    """Tell whether a response with status 200 is complete, signed and belongs to the request.

    Responses with another status are valid.
    """
    if response.status_code != httpx.codes.OK:
        return True
    if response.headers.get("x-request-id") != request_id:
        return False
    try:
        server = json.loads(response.content)["server"]
    except (ValueError, KeyError):
        return False
    return bool(response.headers.get("x-server-signature") == f"signed-{server}")
