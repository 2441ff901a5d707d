"""A request with a long body is sent once more after a refusal, with only a part of its body."""

import asyncio
import math
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import Record, has_trouble, run_case  # noqa: E402
from standins.deployment import (  # noqa: E402
    Deployment,
    Node,
    Ports,
    client_headers,
    find_free_ports,
    make_configuration,
)
from standins.http import Message, request  # noqa: E402
from standins.instance import Answer, Instance, Run, digest  # noqa: E402
from standins.store import Store  # noqa: E402

HOST = "127.0.2.1"
INSTANCES = 7
# All instances are grey for 8 s and turn 45 of 100 requests away; the site file has up to 55 of 100
# for 8.5 s.
SHED_PERCENT = 45
GREY_FROM_S = 2.0
GREY_FOR_S = 8.0
REQUESTS = 80
PAUSE_S = 0.1
LONG_BODY_BYTES = 600_000
SHORT_BODY_BYTES = 300
DEADLINE_MS = 2_000
WORK_S = 0.05


class GreyPeriod:
    """Decides which requests the grey instances turn away."""

    def __init__(self) -> None:
        self.requests = 0
        self.started_s = math.inf

    def start_traffic(self) -> None:
        """Begin to count the time."""
        self.started_s = time.monotonic()

    def sheds(self) -> bool:
        """Count a request in the grey period; tell whether it is turned away."""
        if not 0 <= time.monotonic() - self.started_s - GREY_FROM_S < GREY_FOR_S:
            return False
        before = self.requests * SHED_PERCENT // 100
        self.requests += 1
        return self.requests * SHED_PERCENT // 100 > before


async def play(record: Record) -> bool:
    """Send bookings with short and long bodies while the instances are grey for a time."""
    store, runs, grey_period = Store(), list[Run](), GreyPeriod()

    async def behave(instance: Instance, message: Message) -> Answer:
        if has_trouble() and grey_period.sheds():
            request_id = message.headers["x-request-id"]
            record.write(f"{request_id} not run by {instance.name}: 503 with X-Not-Executed")
            return Answer(503, ran=False)
        instance.record_run(message)
        await asyncio.sleep(WORK_S)
        return Answer()

    await store.start("127.0.0.1")
    routes = [["holds", "/holds/", "unsafe", "hold-ledger", 2.0, 2]]
    store.put(
        "op", "config", make_configuration(routes, ["hold-ledger"], rate_per_s=1000, burst=1000)
    )
    for number in range(INSTANCES):
        instance = Instance(
            store, runs, behave, name=f"i-{number}", service="hold-ledger", zone="mid-one"
        )
        await instance.start("127.0.0.1")
    deployment = Deployment(store.address, {"mid-one": "mid-sweden"})
    try:
        node = Node("edge-1", HOST, "mid-one", Ports(*find_free_ports(4, [HOST])))
        deployment.start_node(node, bootstrap=True)
        await deployment.wait_ready(node)
        grey_period.start_traffic()
        sent = await send_requests(record, node)
    finally:
        deployment.close()
    return check(record, runs, sent)


async def send_requests(record: Record, node: Node) -> dict[str, bytes]:
    """Send the requests one after the other; return their bodies by id."""
    generator, sent = random.Random(30), dict[str, bytes]()
    for number in range(REQUESTS):
        size = LONG_BODY_BYTES if number % 2 else SHORT_BODY_BYTES
        request_id, body = f"hold-{number:03}", generator.randbytes(size)
        sent[request_id] = body
        record.write(f"{request_id} sent: POST, body of {size} bytes, digest {digest(body)}")
        headers = client_headers(request_id, DEADLINE_MS)
        answer = await asyncio.wait_for(
            request(node.callers, "POST", f"/holds/{number}", headers, body), DEADLINE_MS / 1000
        )
        status = answer.start[1] if answer is not None else "no answer"
        signature = answer.headers.get("x-server-signature", "none") if answer else "none"
        record.write(f"{request_id} answered: {status}, signature {signature}")
        await asyncio.sleep(PAUSE_S)
    return sent


def check(record: Record, runs: list[Run], sent: dict[str, bytes]) -> bool:
    """Return whether each run had the body that its client sent."""
    changed = 0
    for run in runs:
        body = sent[run.request_id]
        is_changed = run.body_digest != digest(body)
        changed += is_changed
        record.write(
            f"{run.request_id} run by {run.instance}: body of {run.body_bytes} bytes, digest"
            f" {run.body_digest}{', NOT the body that was sent' if is_changed else ''}",
            run.at_s,
        )
    record.write(f"{len(sent)} requests, {len(runs)} runs, {changed} with a changed body")
    return not changed


if __name__ == "__main__":
    run_case(FOLDER, play)
