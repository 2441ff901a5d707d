"""Machines that are cut off from each other all send to a cold instance, each its whole share."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import Record, count_most, has_trouble, run_case  # noqa: E402
from standins.deployment import (  # noqa: E402
    Deployment,
    Node,
    Ports,
    client_headers,
    find_free_ports,
    make_configuration,
)
from standins.http import Message, request  # noqa: E402
from standins.instance import Answer, Instance, Run  # noqa: E402
from standins.links import Links  # noqa: E402
from standins.store import Store  # noqa: E402

SERVICE = "lookup-desk"
# Two of six machines are cut off from all others; the site file has a share of up to 0.35.
NODES, CUT_NODES = 6, 2
HOSTS = [f"127.0.7.{number + 1}" for number in range(NODES)]
WARM_INSTANCES = 3
WARMUP_S, WARMUP_PER_S = 3.0, 22.0
OVERAGE, SLACK, WINDOW_S = 1.5, 5, 1.0
SETTLE_S = 6.0
# The site file has cuts of up to 12 s.
CUT_S, COLD_AFTER_S = 11.0, 5.0
REQUESTS_PER_S = 360
WORK_S = 0.1
DEADLINE_MS = 1_500


async def play(record: Record) -> bool:
    """Cut machines off, add a cold instance, and count what it gets."""
    store, runs, sent_s = Store(), list[Run](), dict[str, float]()

    async def behave(instance: Instance, message: Message) -> Answer:
        instance.record_run(message)
        await asyncio.sleep(WORK_S)
        return Answer()

    await store.start("127.0.0.1")
    routes = [["lookups", "/lookups/", "safe", SERVICE, 1.5, 1]]
    warmup = (WARMUP_S, WARMUP_PER_S)
    configuration = make_configuration(
        routes, [SERVICE], rate_per_s=5000, burst=5000, warmup=warmup
    )
    store.put("op", "config", configuration)
    instances = [
        Instance(store, runs, behave, name=f"i-{number}", service=SERVICE, zone="mid-one")
        for number in range(WARM_INSTANCES + 1)
    ]
    for instance in instances[:-1]:
        await instance.start("127.0.0.1")
    deployment, links = Deployment(store.address, {"mid-one": "mid-sweden"}), Links()
    http, readiness, directory, *ephemeral = find_free_ports(3 + NODES, HOSTS)
    nodes = [
        Node(
            f"edge-{number}",
            HOSTS[number],
            "mid-one",
            Ports(http, readiness, directory, port),
        )
        for number, port in enumerate(ephemeral)
    ]
    try:
        for node, other in itertools.permutations(nodes, 2):
            await links.open(node, other)
        for node in nodes:
            deployment.start_node(node, bootstrap=True)
        for node in nodes:
            await deployment.wait_ready(node)
        traffic = asyncio.create_task(send_traffic(record, nodes, sent_s))
        await asyncio.sleep(SETTLE_S)
        if has_trouble():
            links.cut_off = {node.name for node in nodes[:CUT_NODES]}
            record.write(f"cut off from all other machines: {sorted(links.cut_off)}")
        await asyncio.sleep(COLD_AFTER_S)
        cold = instances[-1]
        cold.warmup_left_s = WARMUP_S
        await cold.start("127.0.0.1")
        cold_from_s = time.monotonic()
        record.write(f"{cold.name} starts, cold for {WARMUP_S} s")
        await asyncio.sleep(CUT_S - COLD_AFTER_S)
        traffic.cancel()
        await asyncio.sleep(DEADLINE_MS / 1000)
    finally:
        deployment.close()
    return check(record, runs, sent_s, cold, cold_from_s)


async def send_traffic(record: Record, nodes: list[Node], sent_s: dict[str, float]) -> None:
    """Send requests to all machines in turn, at an even rate."""
    tasks: set[asyncio.Task[None]] = set()
    for number in itertools.count():
        node = nodes[number % len(nodes)]
        request_id = f"lookup-{number:05}"
        sent_s[request_id] = time.monotonic()
        tasks.add(asyncio.create_task(send_request(record, node, request_id)))
        tasks = {task for task in tasks if not task.done()}
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_request(record: Record, node: Node, request_id: str) -> None:
    """Send one request."""
    record.write(f"{request_id} sent to {node.name}")
    headers, status = client_headers(request_id, DEADLINE_MS), "no answer"
    try:
        answer = await asyncio.wait_for(
            request(node.callers, "GET", f"/lookups/{request_id}", headers), DEADLINE_MS / 1000
        )
        status = answer.start[1] if answer is not None else status
    except TimeoutError:
        pass
    record.write(f"{request_id} answered: {status}")


def check(
    record: Record,
    runs: list[Run],
    sent_s: dict[str, float],
    cold: Instance,
    cold_from_s: float,
) -> bool:
    """Return whether the cold instance got no more in any second than the rule allows."""
    for run in runs:
        record.write(f"{run.request_id} run by {run.instance}", run.at_s)
    times = [
        (sent_s[run.request_id], run.at_s)
        for run in runs
        if run.instance == cold.name and run.at_s < cold_from_s + WARMUP_S
    ]
    most, _ = count_most(times, WINDOW_S)
    limit = WARMUP_PER_S * OVERAGE + SLACK
    record.write(
        f"{cold.name} got {len(times)} requests while it was cold; most in {WINDOW_S} s: {most};"
        f" allowed are {limit:.0f}"
    )
    return most <= limit


if __name__ == "__main__":
    run_case(FOLDER, play)
