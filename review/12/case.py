"""Shows whether a bad version gets more than its share of the requests.

The routes of a service are replaced, as `replaced_routes` tells. After that a bad version of the
other service is brought in, which fails on a route that clients in the north use. With TROUBLE=0
the routes stay the same.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from fleet import BOUNDS, Fleet, Instance, Vm, play_case  # noqa: E402
from replaced_routes import (  # noqa: E402
    HOLDS,
    HOST,
    KEY,
    ZONES,
    add_version,
    list_north,
    replace_routes,
    stop_version,
    wait_for_state,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Requests on each route at each VM that has clients for it.
SENT_PER_S = 30.0
BAD_SHARE = 0.5
ROLLOUT_S = 16.0
# The new instances drain this long after the state `rolled_back`.
DRAIN_DELAY_S = 5.0
BAD_ANSWERS = 50


async def send_holds(fleet: Fleet, vm: Vm, prefix: str) -> list[tuple[str, float, int]]:
    """Send requests on a route through one VM; return what became of them."""
    tasks = []
    end_s = fleet.record.now_s() + ROLLOUT_S + 1
    while fleet.record.now_s() < end_s:
        await asyncio.sleep(random.expovariate(SENT_PER_S))
        request = fleet.send(vm, "POST", HOST, prefix + "flitch", 2_000, {"X-Key": KEY})
        tasks.append(asyncio.create_task(request))
    return list(await asyncio.gather(*tasks))


async def play_platform(fleet: Fleet, bad: list[Instance]) -> None:
    """Stop or drain instances after the end of the roll-out, as the platform does."""
    state = await wait_for_state(fleet, HOLDS, {"rolled_back", "succeeded"}, ROLLOUT_S + 1)
    fleet.record.say(f"status/rollout/{HOLDS} is {state or 'not final'}")
    if state == "succeeded":
        stop_version(fleet, HOLDS, "v1")
    if state == "rolled_back":
        await asyncio.sleep(DRAIN_DELAY_S)
        fleet.record.say("the new instances drain")
        for instance in bad:
            fleet.store.put("servers", instance.id, instance.registration("draining"))


def judge(fleet: Fleet, bad: list[Instance], ordered_s: float, sent: dict[str, float]) -> int:
    """Check both parts of EXPOSURE as they are written; return the exit code."""
    record = fleet.record
    deadline_s = ordered_s + ROLLOUT_S
    service = [item for item in fleet.instances.values() if item.service == HOLDS]
    reached = sum(ordered_s <= run.started_s <= deadline_s for item in service for run in item.runs)
    runs = [run for item in bad for run in item.runs]
    at_bad = sum(run.started_s <= deadline_s for run in runs)
    allowed = BOUNDS["canaryShare"] * reached + BOUNDS["canarySlack"]
    record.say(f"{at_bad} of {reached} requests reached the bad version, {allowed:.0f} are allowed")
    bad_times = sorted(time_s for item in bad for time_s in item.bad_times)
    late = 0
    if len(bad_times) >= BAD_ANSWERS:
        limit_s = bad_times[BAD_ANSWERS - 1] + BOUNDS["rollbackS"]
        late = sum(sent.get(run.request_id, 0.0) > limit_s for run in runs)
    record.say(f"{len(bad_times)} bad answers; {late} requests at it over rollbackS after the 50th")
    broken = at_bad > allowed or late > 0
    record.say("EXPOSURE is broken" if broken else "EXPOSURE held")
    return 1 if broken else 0


async def run(fleet: Fleet) -> int:
    """Play the case; return the exit code."""
    await replace_routes(fleet, TROUBLE)
    record = fleet.record
    bad = await add_version(fleet, HOLDS, "v2", 12, 7)
    for instance in bad:
        instance.is_bad = lambda path: path.startswith("/north/") and random.random() < BAD_SHARE
    await asyncio.sleep(0.5)
    ordered_s = record.now_s()
    record.say(f"a bad version of {HOLDS} is brought in")
    order = {"service": HOLDS, "to": "v2", "durationS": ROLLOUT_S}
    fleet.store.put("op", f"rollout/{HOLDS}", order)
    platform = asyncio.create_task(play_platform(fleet, bad))
    traffic = [send_holds(fleet, vm, "/holds/") for vm in fleet.vms.values()]
    traffic += [send_holds(fleet, vm, "/north/") for vm in list_north(fleet)]
    answers = [answer for part in await asyncio.gather(*traffic) for answer in part]
    await platform
    statuses = [status for *_, status in answers]
    record.say(f"answers: { {item: statuses.count(item) for item in sorted(set(statuses))} }")
    return judge(fleet, bad, ordered_s, {request_id: sent_s for request_id, sent_s, _ in answers})


if __name__ == "__main__":
    sys.exit(play_case(FOLDER, ZONES, run))
