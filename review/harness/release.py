"""A service whose operator orders a release, and clients that keep sending to it."""

import asyncio
import time
from collections.abc import Callable, Sequence

from harness.case import Record
from harness.client import Answer, resolve, send
from harness.deployment import ZONES, Deployment, Ports
from harness.instance import Instance, Work
from harness.store import Store

SERVICE = "ledger"
HOST = "shop.example"
KEY = "k1f7w0q9z2"
TENANT = "mill-one"
WARMUP_S = 3.0
LOOKUP_INTERVAL_S = 2.0
# After ``rolled_back`` the new instances drain some seconds later.
SECONDS_TO_DRAIN, DRAIN_S = 2.0, 2.5
# The hosts of instances come after this one.
LAST_OTHER_HOST = 120
# One way, as the pages give them: in a zone, between zones, between regions.
ZONE_DELAY_S, NEAR_DELAY_S, FAR_DELAY_S = 0.0001, 0.0009, 0.055


def make_configuration(version: int, routes: list[list[object]]) -> dict[str, object]:
    """Return a configuration; each route is name, prefix, kind, timeoutS and targetLatencyS."""
    return {
        "version": f"r{version}",
        "routes": {
            "columns": [
                *("name", "host", "prefix", "kind", "timeoutS", "targetLatencyS"),
                *("priority", "weightedServices", "maxAttempts", "public", "sticky"),
                *("allowedRegions", "service"),
            ],
            "rows": [
                [name, HOST, prefix, kind, timeout, target, 1, None, 2, False, False, [], SERVICE]
                for name, prefix, kind, timeout, target in routes
            ],
        },
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "warmupS", "warmupPerS"],
            "rows": [[SERVICE, "/health", 330, WARMUP_S, 22.0]],
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "tenants": {
            "columns": ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"],
            "rows": [[TENANT, [KEY], 0, 0, 0, []]],
        },
    }


class Traffic:
    """Clients of every zone that send requests at a steady rate until they are stopped.

    They ask a directory every ``LOOKUP_INTERVAL_S`` and use the addresses that it names in turn.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.answers: list[Answer] = []
        self.machine_of: dict[str, str] = {}
        self.ended = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.number = 0

    def start(
        self,
        path: str,
        method: str,
        per_s: float,
        deadline_s: float,
        zones: Sequence[str] = (),
    ) -> None:
        """Start the clients of a route, which together send ``per_s`` requests a second.

        They are in some zones, or in those of all machines.
        """
        zones = zones or sorted({machine.zone for machine in self.deployment.machines})
        for zone in zones:
            self._start_task(self._send_from(zone, path, method, len(zones) / per_s, deadline_s))

    async def stop(self) -> None:
        """Send nothing more, and wait for the answers that are due."""
        self.ended = True
        while self.tasks:
            await asyncio.wait(self.tasks)

    async def _send_from(
        self, zone: str, path: str, method: str, interval_s: float, deadline_s: float
    ) -> None:
        addresses: list[str] = []
        sent = 0
        looked_up = -LOOKUP_INTERVAL_S
        due = time.monotonic()
        while not self.ended:
            if time.monotonic() - looked_up >= LOOKUP_INTERVAL_S:
                addresses = await self._look_up(zone) or addresses
                looked_up = time.monotonic()
            due += interval_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if addresses:
                self.number += 1
                sent += 1
                address = addresses[sent % len(addresses)]
                self._start_task(self._send(address, path, method, deadline_s, self.number))

    async def _look_up(self, zone: str) -> list[str]:
        machines = sorted(self.deployment.machines, key=lambda item: item.zone != zone)
        for machine in machines[:3]:
            found = await resolve(machine.directory, HOST, ZONES[zone], zone)
            if found:
                return found
        return []

    async def _send(
        self, address: str, path: str, method: str, deadline_s: float, number: int
    ) -> None:
        request_id = f"{number:016x}"
        machine = next(item for item in self.deployment.machines if item.address == address)
        self.machine_of[request_id] = machine.name
        self.answers.append(
            await send(
                machine.name,
                address,
                request_id,
                f"{method} {path} HTTP/1.1",
                host=HOST,
                key=KEY,
                deadline_s=deadline_s,
                body=b"item=17" if method == "POST" else b"",
            )
        )

    def _start_task(self, coroutine: object) -> None:
        task = asyncio.create_task(coroutine)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def set_delays(traffic: Traffic, instances: list[Instance]) -> None:
    """Give the messages between machines and instances the delays of the pages."""
    zones = {machine.name: machine.zone for machine in traffic.deployment.machines}

    def make_delay(instance: Instance) -> Callable[[str], float]:
        def delay(request_id: str) -> float:
            zone = zones.get(traffic.machine_of.get(request_id, ""), instance.zone)
            if zone == instance.zone:
                return ZONE_DELAY_S
            return NEAR_DELAY_S if ZONES[zone] == ZONES[instance.zone] else FAR_DELAY_S

        return delay

    for instance in instances:
        instance.delay = make_delay(instance)


class Release:
    """The instances of a service, and the release that its operator orders.

    At ``succeeded`` the old instances stop at once, at ``rolled_back`` the new ones drain some
    seconds later, as the pages say.
    """

    def __init__(
        self,
        store: Store,
        ports: Ports,
        record: Record,
        versions: tuple[str, str],
        works: tuple[Callable[[str], Work], Callable[[str], Work]],
        *,
        zones: Sequence[str] = tuple(ZONES),
    ) -> None:
        self.store = store
        self.record = record
        self.zones = zones
        self.old_version, self.new_version = versions
        self.port = ports.next()
        self.ports = ports
        self.hosts = LAST_OTHER_HOST
        self.old = self._make(versions[0], works[0])
        self.new = self._make(versions[1], works[1])
        self.ordered = 0.0
        self.state = ""

    def _make(self, version: str, work: Callable[[str], Work]) -> list[Instance]:
        return [
            Instance(f"i-{version}-{zone}-{number}", SERVICE, version, zone, work)
            for number, zone in enumerate(self.zones)
        ]

    async def start_old(self) -> None:
        """Start the old instances and register them."""
        await self._start(self.old, 0)

    async def start_new(self) -> None:
        """Start the new instances beside the old ones."""
        await self._start(self.new, WARMUP_S)
        self.warmup = asyncio.get_running_loop().call_later(WARMUP_S, self._end_warmup)
        self.record.line(f"the instances of {self.new_version} are registered")

    def order(self, duration_s: float) -> None:
        """Order the release."""
        document = {"service": SERVICE, "to": self.new_version, "durationS": duration_s}
        self.ordered = self.store.put("op", f"rollout/{SERVICE}", document)
        self.record.line(f"release to {self.new_version} ordered, durationS {duration_s}")

    async def watch(self) -> None:
        """Do what follows from the state of the release, until cancelled."""
        while True:
            status = self.store.document("status", f"rollout/{SERVICE}")
            state = status["state"] if status and status["to"] == self.new_version else ""
            if state != self.state:
                self.state = state
                self.record.line(f"status of the release: {state}")
                if state == "succeeded":
                    self._remove(self.old)
                if state == "rolled_back":
                    await asyncio.sleep(SECONDS_TO_DRAIN)
                    self._drain(self.new)
                    await asyncio.sleep(DRAIN_S + 1)
                    self._remove(self.new)
            await asyncio.sleep(0.05)

    async def _start(self, instances: list[Instance], warmup_left_s: float) -> None:
        for instance in instances:
            self.hosts += 1
            await instance.start(self.ports.host(self.hosts), self.port)
            self.store.put("servers", instance.name, instance.entry(warmup_left_s))

    def _end_warmup(self) -> None:
        """Register that the new instances are warm, unless they leave already."""
        for instance in self.new:
            if not instance.leaving:
                self.store.put("servers", instance.name, instance.entry())

    def _drain(self, instances: list[Instance]) -> None:
        for instance in instances:
            instance.leaving = True
            self.store.put("servers", instance.name, instance.entry())
        self.record.line("the new instances report draining")

    def _remove(self, instances: list[Instance]) -> None:
        for instance in instances:
            instance.stop()
            self.store.put("servers", instance.name, None)
        self.record.line(f"the instances of {instances[0].version} have stopped")

    def stop(self) -> None:
        """End all instances."""
        for instance in [*self.old, *self.new]:
            instance.stop()


def write_requests(record: Record, traffic: Traffic, release: Release) -> None:
    """Write what was sent, answered and run, one line each."""
    for answer in sorted(traffic.answers, key=lambda item: item.sent):
        record.line(
            f"sent {answer.request_id} to {answer.machine}: {answer.first_line.split()[1]} ->"
            f" {answer.status} after {answer.ended - answer.sent:.3f} s {answer.why}",
            answer.sent,
        )
    for instance in [*release.old, *release.new]:
        for run in instance.runs:
            record.line(
                f"run {run.request_id} at {run.instance} ({run.version}): {run.status} after"
                f" {run.ended - run.arrived:.3f} s",
                run.arrived,
            )
