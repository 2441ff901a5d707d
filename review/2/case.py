"""A frozen machine tells clients that bookings have not run although instances ran them."""

import asyncio
import signal
import sys
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
from standins.http import Message, encode_request, read_message, request  # noqa: E402
from standins.instance import Answer, Instance, Run  # noqa: E402
from standins.store import Store  # noqa: E402

# One machine of nine freezes; the site file has a share of 0.11.
HOSTS = [f"127.0.3.{number + 1}" for number in range(9)]
INSTANCES = 4
ROUNDS = 8
REQUESTS_PER_ROUND = 12
# One answer in this many says that the connection closes.
CLOSING_ANSWERS = 5
WORK_S = 0.5
ROUTE_TIMEOUT_S = 2.0
DEADLINE_MS = 8_000
# The site file has up to 3.5 s.
FREEZE_S = 3.0
FREEZE_AFTER_S = 0.25
BETWEEN_ROUNDS_S = 5.0
# Look-ups that keep the process about half busy, as a process is often in the middle of its work
# when its machine freezes.
LOOKUP_CLIENTS = 10
LOOKUP_PAUSE_S = 0.006
PROMISING_STATUSES = ("408", "421", "429", "503")


async def play(record: Record) -> bool:
    """Freeze the machine while instances work on bookings, and compare answers and runs."""
    store, runs, answers = Store(), list[Run](), dict[str, str]()

    async def behave(instance: Instance, message: Message) -> Answer:
        if message.start[0] == "GET":
            return Answer()
        instance.record_run(message)
        close = len(runs) % CLOSING_ANSWERS == 0
        await asyncio.sleep(WORK_S)
        return Answer(close=close)

    await store.start("127.0.0.1")
    routes = [
        ["holds", "/holds/", "unsafe", "hold-ledger", ROUTE_TIMEOUT_S, 2],
        ["lookups", "/lookups/", "safe", "hold-ledger", ROUTE_TIMEOUT_S, 1],
    ]
    store.put(
        "op", "config", make_configuration(routes, ["hold-ledger"], rate_per_s=5000, burst=5000)
    )
    for number in range(INSTANCES):
        instance = Instance(
            store, runs, behave, name=f"i-{number}", service="hold-ledger", zone="mid-one"
        )
        await instance.start("127.0.0.1")
    deployment = Deployment(store.address, {"mid-one": "mid-sweden"})
    try:
        ports = Ports(*find_free_ports(4, HOSTS))
        nodes = [
            Node(f"edge-{number}", host, "mid-one", ports)
            for number, host in enumerate(HOSTS, start=1)
        ]
        for node in nodes:
            deployment.start_node(node, bootstrap=True)
        for node in nodes:
            await deployment.wait_ready(node)
        node = nodes[0]
        lookups = [
            asyncio.create_task(send_lookups(node, index)) for index in range(LOOKUP_CLIENTS)
        ]
        for number in range(ROUNDS):
            await asyncio.sleep(BETWEEN_ROUNDS_S)
            await play_round(record, node, number, answers)
        for task in lookups:
            task.cancel()
    finally:
        deployment.close()
    return check(record, runs, answers)


async def play_round(record: Record, node: Node, number: int, answers: dict[str, str]) -> None:
    """Send some bookings at the same time and freeze the machine before they are answered."""
    clients = [
        asyncio.create_task(send_request(record, node, f"hold-{number}-{index:02}", answers))
        for index in range(REQUESTS_PER_ROUND)
    ]
    if has_trouble():
        await asyncio.sleep(FREEZE_AFTER_S)
        node.send_signal(signal.SIGSTOP)
        record.write(f"{node.name} frozen for {FREEZE_S} s")
        await asyncio.sleep(FREEZE_S)
        node.send_signal(signal.SIGCONT)
        record.write(f"{node.name} runs again")
    await asyncio.gather(*clients)


async def send_lookups(node: Node, index: int) -> None:
    """Send look-ups one after the other on a kept connection, until cancelled."""
    number = 0
    while True:
        reader, writer = await asyncio.open_connection(node.ip, node.ports.http)
        message: Message | None = Message([], {}, b"")
        while message is not None and message.headers.get("connection") != "close":
            number += 1
            headers = client_headers(f"lookup-{index}-{number}", DEADLINE_MS)
            writer.write(encode_request("GET", f"/lookups/{number}", headers))
            message = await read_message(reader)
            await asyncio.sleep(LOOKUP_PAUSE_S)
        writer.close()


async def send_request(
    record: Record, node: Node, request_id: str, answers: dict[str, str]
) -> None:
    """Send one booking and record its answer."""
    record.write(f"{request_id} sent: POST")
    headers = client_headers(request_id, DEADLINE_MS)
    try:
        answer = await asyncio.wait_for(
            request(node.callers, "POST", f"/holds/{request_id}", headers, b"hold"),
            DEADLINE_MS / 1000,
        )
    except TimeoutError:
        answer = None
    answers[request_id] = answer.start[1] if answer is not None else "no answer"
    body = answer.body.decode() if answer is not None else ""
    record.write(f"{request_id} answered: {answers[request_id]} {body}")


def check(record: Record, runs: list[Run], answers: dict[str, str]) -> bool:
    """Return whether no booking that was answered with a promise has run."""
    broken = 0
    for run in runs:
        status = answers.get(run.request_id, "no answer")
        is_broken = status in PROMISING_STATUSES
        broken += is_broken
        note = f", but its client was answered {status}: not run" if is_broken else ""
        record.write(f"{run.request_id} run by {run.instance}{note}", run.at_s)
    record.write(f"{len(answers)} requests, {len(runs)} runs, {broken} of them answered as not run")
    return not broken


if __name__ == "__main__":
    run_case(FOLDER, play)
