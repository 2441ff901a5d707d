"""A new version of a service is several times slower on one route; see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.case import CannotRunError, Record, main, wait_until_ready  # noqa: E402
from harness.deployment import ZONES, Deployment, Ports  # noqa: E402
from harness.instance import Work  # noqa: E402
from harness.release import (  # noqa: E402
    Release,
    Traffic,
    make_configuration,
    set_delays,
    write_requests,
)
from harness.store import Store  # noqa: E402

HOLD_S, READ_S = 0.2, 0.1
SLOW_FACTOR = 8
HOLD_TIMEOUT_S = 1.0
DURATION_S = 16.0
CANARY_SHARE, CANARY_SLACK = 0.1, 50
REQUESTS_PER_S = 60.0
CLIENT_ZONES = ("mid-one", "mid-two", "south-one", "south-two")
INSTANCE_ZONES = ("north-one", "north-two") * 3


def work_well(first_line: str) -> Work:
    """Return the work of a good version."""
    return Work(HOLD_S if "/hold/" in first_line else READ_S)


def work_slowly(first_line: str) -> Work:
    """Return the work of a version that is slow on one route."""
    return Work(HOLD_S * SLOW_FACTOR if "/hold/" in first_line else READ_S)


async def run(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether the rule held."""
    ports, store = Ports(), Store()
    deployment = Deployment(folder, ports, list(ZONES))
    deployment.store_address = await store.listen(ports.host(100), ports.next())
    works = (work_well, work_slowly if trouble else work_well)
    release = Release(store, ports, record, ("v1", "v2"), works, zones=INSTANCE_ZONES)
    routes: list[list[object]] = [
        ["hold", "/hold/", "unsafe", HOLD_TIMEOUT_S, 0.4],
        ["read", "/read/", "safe", 1.5, 0.3],
    ]
    store.put("op", "config", make_configuration(7, routes))
    await release.start_old()
    traffic = Traffic(deployment)
    set_delays(traffic, [*release.old, *release.new])
    watcher = asyncio.create_task(release.watch())
    try:
        await deployment.start()
        await wait_until_ready(deployment)
        record.line("all machines are ready")
        traffic.start("/hold/17", "POST", REQUESTS_PER_S, 2.0, CLIENT_ZONES)
        traffic.start("/read/17", "GET", REQUESTS_PER_S, 1.5, CLIENT_ZONES)
        await asyncio.sleep(8)
        await release.start_new()
        release.order(DURATION_S)
        await asyncio.sleep(DURATION_S + 3)
        await traffic.stop()
        write_requests(record, traffic, release)
        return judge(record, traffic, release, trouble)
    finally:
        traffic.ended = True
        watcher.cancel()
        await deployment.stop()
        release.stop()


def judge(record: Record, traffic: Traffic, release: Release, is_bad: bool) -> bool:
    """Return whether the rule held: EXPOSURE, its first bound, for a version that is bad."""
    ends = release.ordered + DURATION_S
    counts = [
        sum(release.ordered <= at < ends for item in items for at, _ in item.arrivals)
        for items in (release.old, release.new)
    ]
    total, limit = sum(counts), CANARY_SHARE * sum(counts) + CANARY_SLACK
    record.line(
        f"between the order and its deadline {total} requests reached the service, {counts[1]} of"
        f" them the new version; a bad one may get {limit:.0f}"
    )
    holds = [item for item in traffic.answers if "/hold/" in item.first_line]
    for name, after in (("before the order", False), ("after the order", True)):
        part = [item for item in holds if (item.sent >= release.ordered) == after]
        statuses = dict.fromkeys(sorted({item.status for item in part}), 0)
        for item in part:
            statuses[item.status] += 1
        record.line(f"answers to /hold/ requests {name}, by status: {statuses}")
    if total < REQUESTS_PER_S * DURATION_S:
        raise CannotRunError("too few requests reached the service to tell")
    record.line(f"status of the release at the end: {release.state or 'none'}")
    return not is_bad or counts[1] <= limit


main(run, Path(__file__).resolve().with_name("record.txt"))
