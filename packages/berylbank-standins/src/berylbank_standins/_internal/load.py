"""A load client that measures latency from the planned start of each request."""

import time
from collections.abc import Callable
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream
from hdrh.histogram import HdrHistogram

READ_BYTES = 262_144
LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3


class LoadPlan(NamedTuple):
    """What to send: ``rate`` in requests per second over all connections, 0 for closed loop."""

    host: str
    port: int
    target: str
    headers: tuple[tuple[str, str], ...]
    connections: int
    duration_s: float
    rate: float = 0.0
    method: str = "GET"
    body: bytes = b""


class LoadResult(NamedTuple):
    """What came back; latencies in microseconds, ``cut`` counts broken answers."""

    requests: int
    failed: int
    cut: int
    statuses: dict[int, int]
    p50_us: int
    p99_us: int
    max_us: int
    elapsed_s: float
    answer_bytes: int


class Answer(NamedTuple):
    """One whole answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    size: int


class CutError(Exception):
    """The connection broke before the answer was whole."""


class LoadClient:
    """Sends one plan; ``check`` may judge each answer and returns True when it is right."""

    def __init__(self, plan: LoadPlan, check: Callable[[Answer], bool] | None = None) -> None:
        self.plan = plan
        self.check = check
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.statuses: dict[int, int] = {}
        self.failed = 0
        self.cut = 0
        self.requests = 0
        self.answer_bytes = 0
        self.stopping = False

    async def run(self) -> LoadResult:
        """Send until the plan's time is over and return the result."""
        begin = time.perf_counter()
        async with anyio.create_task_group() as group:
            for index in range(self.plan.connections):
                group.start_soon(self._run_connection, index, begin)
        elapsed = time.perf_counter() - begin
        quantile = self.histogram.get_value_at_percentile
        return LoadResult(
            requests=self.requests,
            failed=self.failed,
            cut=self.cut,
            statuses=dict(self.statuses),
            p50_us=quantile(50),
            p99_us=quantile(99),
            max_us=self.histogram.get_max_value(),
            elapsed_s=elapsed,
            answer_bytes=self.answer_bytes,
        )

    async def _run_connection(self, index: int, begin: float) -> None:
        plan = self.plan
        interval = plan.connections / plan.rate if plan.rate else 0.0
        planned = begin + interval * index / plan.connections
        caller = Caller(plan.host, plan.port)
        while planned - begin < plan.duration_s and not self.stopping:
            wait = planned - time.perf_counter()
            if wait > 0:
                await anyio.sleep(wait)
            start = planned if interval else time.perf_counter()
            await self._send_one(caller, start)
            planned = planned + interval if interval else time.perf_counter()
        await caller.aclose()

    async def _send_one(self, caller: "Caller", start: float) -> None:
        plan = self.plan
        self.requests += 1
        try:
            answer = await caller.request(plan.method, plan.target, plan.headers, plan.body)
        except (OSError, CutError):
            self.cut += 1
            return
        self.histogram.record_value(int((time.perf_counter() - start) * 1e6))
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
        self.answer_bytes += answer.size
        right = answer.status == 200 if self.check is None else self.check(answer)
        self.failed += int(not right)


class Caller:
    """One connection of a caller; it connects again when it must."""

    def __init__(self, host: str, port: int, keep_body: bool = True) -> None:
        self.host = host
        self.port = port
        self.keep_body = keep_body
        self.stream: SocketStream | None = None
        self.connection = h11.Connection(h11.CLIENT)

    async def request(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> Answer:
        """Send a request and return the whole answer; raise :class:`CutError`."""
        try:
            if self.stream is None:
                self.stream = await anyio.connect_tcp(self.host, self.port)
                self.connection = h11.Connection(h11.CLIENT)
            return await self._exchange(method, target, headers, body)
        except (h11.RemoteProtocolError, anyio.BrokenResourceError, anyio.EndOfStream) as error:
            await self.aclose()
            raise CutError(repr(error)) from None
        except BaseException:
            await self.aclose()
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        stream, self.stream = self.stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def _exchange(
        self, method: str, target: str, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> Answer:
        assert self.stream is not None
        whole = [("host", f"{self.host}:{self.port}"), *headers]
        if body or method in ("POST", "PUT"):
            whole.append(("content-length", str(len(body))))
        data = self.connection.send(h11.Request(method=method, target=target, headers=whole)) or b""
        if body:
            data += self.connection.send(h11.Data(data=body)) or b""
        self.connection.send(h11.EndOfMessage())
        await self.stream.send(data)
        answer = await self._read_answer()
        if self.connection.our_state is h11.DONE and self.connection.their_state is h11.DONE:
            self.connection.start_next_cycle()
        else:
            await self.aclose()
        return answer

    async def _read_answer(self) -> Answer:
        assert self.stream is not None
        response: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self._receive())
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if self.keep_body:
                    chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and response is not None:
                headers = tuple((bytes(k), bytes(v)) for k, v in response.headers)
                return Answer(response.status_code, headers, b"".join(chunks), size)
            elif isinstance(event, h11.InformationalResponse):
                continue
            else:
                raise CutError("closed before the answer was whole")

    async def _receive(self) -> bytes:
        assert self.stream is not None
        try:
            return await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
