"""The machines that read the store are killed, and turned away by it; see claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.case import CannotRunError, Record, main, wait_until_ready  # noqa: E402
from harness.client import Answer, send  # noqa: E402
from harness.deployment import CONTACT_S, ZONES, Deployment, Machine, Ports  # noqa: E402
from harness.instance import Instance, Work  # noqa: E402
from harness.release import HOST, KEY, SERVICE, make_configuration  # noqa: E402
from harness.store import Store  # noqa: E402

CONFIG_APPLY_S = 2.5
OTHER_SERVICE = "archive"
RESTART_DELAY_S = 0.5
INTERVAL_S = 0.1
WATCHED_S = 7.0


def work(_: str) -> Work:
    """Return the work of a request."""
    return Work(0.05)


def make_route_configuration(version: int, service: str) -> dict[str, object]:
    """Return a configuration with one route, to a service."""
    document = make_configuration(version, [["read", "/read/", "safe", 1.5, 0.3]])
    routes, services = document["routes"], document["services"]
    routes["rows"][0][-1] = service  # type: ignore[index]
    rows = services["rows"]  # type: ignore[index]
    rows.append([OTHER_SERVICE, *rows[0][1:]])
    return document


async def send_steadily(machine: Machine, until: float, answers: list[Answer]) -> None:
    """Send requests to a machine until a time."""
    number = 0
    while time.monotonic() < until:
        number += 1
        answers.append(
            await send(
                machine.name,
                machine.address,
                f"{machine.ip.split('.')[-1]:0>4}{number:08x}",
                "GET /read/17 HTTP/1.1",
                host=HOST,
                key=KEY,
                deadline_s=1.5,
            )
        )
        await asyncio.sleep(INTERVAL_S)


async def restart(machine: Machine) -> None:
    """Start a killed machine again, as the platform does."""
    await asyncio.sleep(RESTART_DELAY_S)
    machine.write_settings(first_start=False)
    await machine.start()


async def run(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether the rule held."""
    ports, store = Ports(), Store()
    deployment = Deployment(folder, ports, list(ZONES))
    for number, machine in enumerate(deployment.machines):
        machine.store_address = await store.listen(ports.host(100 + number), ports.next())
    port = ports.next()
    instances = [
        Instance(f"i-{service}-{zone}", service, "v1", zone, work)
        for service in (SERVICE, OTHER_SERVICE)
        for zone in ZONES
    ]
    for number, instance in enumerate(instances):
        await instance.start(ports.host(120 + number), port)
        store.put("servers", instance.name, instance.entry())
    store.put("op", "config", make_route_configuration(7, SERVICE))
    try:
        await deployment.start()
        await wait_until_ready(deployment)
        record.line("all machines are ready")
        await asyncio.sleep(CONTACT_S + 2)
        recent = time.monotonic() - 2
        readers = [
            machine
            for machine in deployment.machines
            if store.feed_calls.get(machine.store_address, 0.0) > recent
        ]
        record.line(f"the store gets long polls from {[item.name for item in readers]}")
        if len(readers) > len(deployment.machines) / 2:
            raise CannotRunError("most machines read the store")
        calm = [item for item in deployment.machines if item not in readers]
        tasks = []
        if trouble:
            for machine in readers:
                store.silent.add(machine.store_address)
                await machine.kill()
                record.line(f"{machine.name} killed; the store does not answer it any more")
            tasks = [asyncio.create_task(restart(machine)) for machine in readers]
        acknowledged = store.put("op", "config", make_route_configuration(9, OTHER_SERVICE))
        record.line("r9 acknowledged: the route leads to the other service")
        answers: list[Answer] = []
        async with asyncio.TaskGroup() as group:
            for machine in calm:
                group.create_task(send_steadily(machine, acknowledged + WATCHED_S, answers))
        await asyncio.gather(*tasks)
        return judge(record, answers, acknowledged, calm)
    finally:
        store.silent.clear()
        await deployment.stop()
        for instance in instances:
            instance.stop()


def judge(record: Record, answers: list[Answer], acknowledged: float, calm: list[Machine]) -> bool:
    """Return whether the rule held: CONFIG, for the machines that nothing was done to."""
    if sum(answer.status == 200 for answer in answers) < len(answers) / 2 or not answers:
        raise CannotRunError("too few requests were answered to tell")
    late = 0
    for answer in sorted(answers, key=lambda item: item.sent):
        is_old = SERVICE in answer.signature
        is_late = answer.sent - acknowledged > CONFIG_APPLY_S
        late += is_old and is_late
        record.line(
            f"sent {answer.request_id} to {answer.machine}: {answer.status} {answer.signature}",
            answer.sent,
        )
    for machine in calm:
        times = [
            item.sent - acknowledged
            for item in answers
            if item.machine == machine.name and SERVICE in item.signature
        ]
        last = f"{max(times):.2f} s" if times else "none"
        record.line(f"{machine.name}: last request that the old service ran was sent at {last}")
    record.line(f"{late} requests sent later than {CONFIG_APPLY_S} s were run by the old service")
    return not late


main(run, Path(__file__).resolve().with_name("record.txt"))
