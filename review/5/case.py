"""Machines that restart while the store is down take a release's new version for the stable one."""

import asyncio
import itertools
import math
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
from standins.instance import Answer, Instance, Run  # noqa: E402
from standins.store import Store  # noqa: E402

SERVICE = "lookup-desk"
ROUTES = 8
OLD_VERSION, NEW_VERSION = "v9", "v10"
INSTANCES_PER_VERSION = 4
NODES = 3
RELEASE_S = 16.0
BAD_AFTER_S = 3.0
KILL_AFTER_S = 0.5
DOWN_S = 1.0
# The site file has up to 4.5 s for the store.
STORE_DOWN_S = 3.0
# New instances drain some seconds after a release was rolled back.
DRAIN_AFTER_ROLLBACK_S = 8.0
REQUESTS_PER_S = 120
WORK_S = 0.02
DEADLINE_MS = 1_500
CONTACT_S = 4.0
CANARY_SHARE, CANARY_SLACK = 0.1, 50


class Sent:
    """A request: when it was sent, and by which machine it was taken."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.at_s = time.monotonic()
        self.status = "no answer"


class Play:
    """One play of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.runs: list[Run] = []
        self.sent: dict[str, Sent] = {}
        self.new_instances: list[Instance] = []
        self.ordered_s = math.inf
        self.killed_s = self.stable_s = math.inf
        self.bad_counter = itertools.count()

    async def behave(self, instance: Instance, message: Message) -> Answer:
        """Serve a request; the new version fails half of its requests some time after its start."""
        instance.record_run(message)
        await asyncio.sleep(WORK_S)
        is_bad = time.monotonic() - self.ordered_s > BAD_AFTER_S
        if instance.version == NEW_VERSION and is_bad and next(self.bad_counter) % 2:
            return Answer(500)
        return Answer()

    async def play(self) -> bool:
        """Order a release, restart all machines, and count the requests of the new version."""
        await self.store.start("127.0.0.1")
        routes = [
            [f"route-{number}", f"/route-{number}/", "safe", SERVICE, 1.5, 2]
            for number in range(ROUTES)
        ]
        self.store.put(
            "op", "config", make_configuration(routes, [SERVICE], rate_per_s=5000, burst=5000)
        )
        await self.start_instances(OLD_VERSION)
        zones = {"mid-one": "mid-sweden", "mid-two": "mid-sweden"}
        deployment = Deployment(self.store.address, zones)
        ports = Ports(*find_free_ports(4))
        nodes = [
            Node(f"edge-{number}", f"127.0.4.{number + 1}", list(zones)[number % 2], ports)
            for number in range(NODES)
        ]
        try:
            for node in nodes:
                deployment.start_node(node, bootstrap=True)
            for node in nodes:
                await deployment.wait_ready(node)
            await asyncio.sleep(CONTACT_S + 1)
            traffic = asyncio.create_task(self.send_traffic(nodes))
            await asyncio.sleep(2)
            await self.start_instances(NEW_VERSION)
            await asyncio.sleep(1)
            self.order_release()
            if has_trouble():
                await asyncio.sleep(KILL_AFTER_S)
                await self.restart_all(deployment, nodes)
            await self.follow_release()
            traffic.cancel()
        finally:
            deployment.close()
        return self.check()

    async def restart_all(self, deployment: Deployment, nodes: list[Node]) -> None:
        """Kill all processes while the store is down, and start them again."""
        self.killed_s = time.monotonic()
        self.store.busy = True
        self.record.write("all processes killed; the store answers 503")
        for node in nodes:
            node.kill()
        await asyncio.sleep(DOWN_S)
        for node in nodes:
            deployment.start_node(node, bootstrap=False)
        self.record.write("all processes started again")
        await asyncio.sleep(STORE_DOWN_S - DOWN_S)
        self.store.busy = False
        self.stable_s = time.monotonic() + CONTACT_S
        self.record.write("the store answers again")

    async def start_instances(self, version: str) -> None:
        """Start the instances of a version; they register themselves."""
        for number in range(INSTANCES_PER_VERSION):
            instance = Instance(
                self.store,
                self.runs,
                self.behave,
                name=f"i-{version}-{number}",
                service=SERVICE,
                zone=["mid-one", "mid-two"][number % 2],
                version=version,
            )
            await instance.start("127.0.0.1")
            if version == NEW_VERSION:
                self.new_instances.append(instance)

    def order_release(self) -> None:
        """Order the release as the operator."""
        self.ordered_s = time.monotonic()
        order = {"service": SERVICE, "to": NEW_VERSION, "durationS": RELEASE_S}
        self.store.put("op", f"rollout/{SERVICE}", order)
        self.record.write(f"release to {NEW_VERSION} ordered, to be done in {RELEASE_S} s")

    async def follow_release(self) -> None:
        """Wait until the deadline of the release, and drain what was rolled back."""
        rolled_back_s: float | None = None
        while time.monotonic() - self.ordered_s < RELEASE_S:
            await asyncio.sleep(0.1)
            status = self.store.document("status", f"rollout/{SERVICE}") or {}
            if status.get("state") == "rolled_back" and rolled_back_s is None:
                rolled_back_s = time.monotonic()
                self.record.write("the system wrote: rolled_back")
            drains_s = (rolled_back_s or math.inf) + DRAIN_AFTER_ROLLBACK_S
            if self.new_instances and time.monotonic() > drains_s:
                self.record.write(f"instances of {NEW_VERSION} drain")
                for instance in self.new_instances:
                    instance.register("draining")
                self.new_instances = []

    async def send_traffic(self, nodes: list[Node]) -> None:
        """Send requests to all machines in turn, at an even rate."""
        tasks = set()
        for number in itertools.count():
            node = nodes[number % len(nodes)]
            tasks.add(asyncio.create_task(self.send_request(node, number)))
            tasks = {task for task in tasks if not task.done()}
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def send_request(self, node: Node, number: int) -> None:
        """Send one request."""
        request_id = f"lookup-{number:05}"
        sent = self.sent[request_id] = Sent(node)
        headers = client_headers(request_id, DEADLINE_MS)
        path = f"/route-{number % ROUTES}/{number}"
        try:
            answer = await asyncio.wait_for(
                request(node.callers, "GET", path, headers), DEADLINE_MS / 1000
            )
        except TimeoutError:
            return
        if answer is not None:
            sent.status = answer.start[1]

    def is_in_touch(self, at_s: float) -> bool:
        """Tell whether the machines and the store have been undisturbed for ``contactS``."""
        return at_s < self.killed_s or at_s > self.stable_s

    def check(self) -> bool:
        """Return whether the new version got no more than the canary's share."""
        deadline_s = self.ordered_s + RELEASE_S
        total = new_in_touch = 0
        for run in self.runs:
            sent = self.sent.get(run.request_id)
            if sent is None or not self.ordered_s <= run.at_s <= deadline_s:
                continue
            total += 1
            self.record.write(
                f"{run.request_id} sent to {sent.node.name}, run by {run.instance},"
                f" answered {sent.status}",
                run.at_s,
            )
            is_new = run.version == NEW_VERSION
            new_in_touch += is_new and self.is_in_touch(sent.at_s)
        limit = CANARY_SHARE * total + CANARY_SLACK
        self.record.write(
            f"{total} requests reached {SERVICE} in the release's time, {new_in_touch} of them"
            f" {NEW_VERSION} from machines in touch; allowed are {limit:.0f}"
        )
        return new_in_touch <= limit


async def play(record: Record) -> bool:
    """Play the case."""
    return await Play(record).play()


if __name__ == "__main__":
    run_case(FOLDER, play)
