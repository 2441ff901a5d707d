"""Shows whether a tenant gets more than its rate over all VMs together.

The routes of a service are replaced, as `replaced_routes` tells. Then one tenant sends four times
its rate through the VMs of the north. With TROUBLE=0 the routes stay the same.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from fleet import BOUNDS, Fleet, Vm, play_case  # noqa: E402
from replaced_routes import (  # noqa: E402
    BURST,
    HOST,
    LIMITED_KEY,
    LIMITED_TENANT,
    RATE_PER_S,
    ZONES,
    list_north,
    replace_routes,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SENT_PER_RATE = 4.0
HOT_S = 6.5


async def send_holds(fleet: Fleet, vm: Vm, per_s: float) -> list[tuple[str, float, int]]:
    """Send the tenant's requests through one VM; return what became of them."""
    tasks = []
    end_s = fleet.record.now_s() + HOT_S
    while fleet.record.now_s() < end_s:
        await asyncio.sleep(random.expovariate(per_s))
        request = fleet.send(vm, "POST", HOST, "/holds/flitch", 2_000, {"X-Key": LIMITED_KEY})
        tasks.append(asyncio.create_task(request))
    return list(await asyncio.gather(*tasks))


def judge(fleet: Fleet, sent: dict[str, float]) -> int:
    """Check QUOTA as it is written; return the exit code."""
    window_s = BOUNDS["quotaWindowS"]
    allowed = (RATE_PER_S * window_s + BURST) * (1 + BOUNDS["quotaOverage"]) + BOUNDS["quotaSlack"]
    runs = sorted(
        (sent[run.request_id], run.started_s)
        for instance in fleet.instances.values()
        for run in instance.runs
        if run.tenant == LIMITED_TENANT
    )
    most = 0
    for first, (start_s, _) in enumerate(runs):
        inside = sum(ran_s <= start_s + window_s for _, ran_s in runs[first:])
        most = max(most, inside)
    fleet.record.say(f"{most} requests of the tenant in {window_s} s, {allowed:.0f} are allowed")
    fleet.record.say("QUOTA is broken" if most > allowed else "QUOTA held")
    return 1 if most > allowed else 0


async def run(fleet: Fleet) -> int:
    """Play the case; return the exit code."""
    await replace_routes(fleet, TROUBLE)
    north = list_north(fleet)
    per_s = RATE_PER_S * SENT_PER_RATE / len(north)
    fleet.record.say(f"a tenant with {RATE_PER_S}/s sends {per_s * len(north):.0f}/s")
    parts = await asyncio.gather(*(send_holds(fleet, vm, per_s) for vm in north))
    answers = [answer for part in parts for answer in part]
    statuses = [status for *_, status in answers]
    fleet.record.say(f"answers: { {item: statuses.count(item) for item in sorted(set(statuses))} }")
    return judge(fleet, {request_id: sent_s for request_id, sent_s, _ in answers})


if __name__ == "__main__":
    sys.exit(play_case(FOLDER, ZONES, run))
