"""A small fleet on loopback: steering daemons, a stand-in row store and backend servers."""

import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import httpx
from anyio.abc import Process, TaskGroup
from fleet import free_port

from berylbank_standins._internal.row_store import StandInRowStore
from berylbank_standins._internal.serving import serve_app
from berylbank_standins._internal.steered_backend import SteeredBackend, SteeredBehaviour

HOST = "127.0.0.1"
REGIONS = {"one-a": "one", "one-b": "one", "two-a": "two"}
READY_TIMEOUT_S = 30.0
GRACE_S = 2.0
API_KEY = "key-of-alder"
# Gives the daemons' sockets small send buffers.
SMALL_BUFFERS_ENVIRONMENT = {
    **os.environ,
    "PYTHONPATH": str(Path(__file__).parent / "small_buffers"),
}
# Opens a link from a VM to the store, given the VM's name and the store's address. The result's
# attribute ``listen`` is the link's address.
OpenStoreLink = Callable[[str, str], Awaitable[Any]]

SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "{failure_domain}"
region = "{region}"
ephemeralPorts = [{first_port}, {last_port}]
seeds = []
bootstrap = {bootstrap}
bounds = ["graceS={grace_s}", "drainS=2.5", "configApplyS=2.5"]
[zones]
{zones}
[listen]
http = "{ip}:{http}"
readiness = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
memoryMb = {memory_mb}
maxFds = {max_descriptors}
[platform]
address = "{store}"
"""


def make_configuration(version: int = 1, **limits: Any) -> dict[str, Any]:
    """Return the operator's configuration: four routes of one service."""
    columns = ["name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority"]
    columns += ["maxAttempts", "public", "sticky", "allowedRegions", "service"]
    organisation = {"ratePerS": 20_000, "burst": 20_000, **limits}
    return {
        "version": f"r{version}",
        "routes": {
            "columns": columns,
            "rows": [
                ["reads", "a.example", "/reads/", "safe", 2, 0.5, 2, 2, False, True, [], "desk"],
                ["books", "a.example", "/books/", "unsafe", 2, 0.5, 1, 2, False, True, [], "desk"],
                ["open", "a.example", "/open/", "safe", 1, 0.5, 2, 2, True, False, [], "desk"],
                [
                    "files",
                    "a.example",
                    "/files/",
                    "download",
                    2,
                    0.5,
                    2,
                    2,
                    False,
                    True,
                    [],
                    "desk",
                ],
            ],
        },
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "warmupS", "warmupPerS"],
            "rows": [["desk", "/health", 100, 3.0, 20.0]],
        },
        "limits": {"idleTimeoutS": 15},
        "tenants": {
            "columns": ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"],
            "rows": [["alder", [API_KEY], 0, organisation["ratePerS"], organisation["burst"], []]],
        },
    }


class VmResources(NamedTuple):
    """What a VM has, and what its callers may send: the operator's limits by their names.

    ``route_timeout_s`` replaces the timeouts of all routes.
    """

    memory_mb: int = 300
    max_descriptors: int = 4_100
    caller_limits: tuple[tuple[str, float], ...] = (("idleTimeoutS", 15),)
    route_timeout_s: float | None = None


class Vm:
    """One VM: its name, IP address, failure domain and daemon process."""

    def __init__(self, name: str, ip: str, failure_domain: str) -> None:
        self.name = name
        self.ip = ip
        self.failure_domain = failure_domain
        self.process: Process | None = None


class SteeringFleet:
    """The row store, the backend servers and the VMs.

    Every VM has its own loopback address and the same ports. ``environment`` is that of the
    daemons, None for the environment of this process; ``grace_s`` is their grace time.
    """

    def __init__(
        self,
        group: TaskGroup,
        folder: Path,
        open_store_link: OpenStoreLink | None = None,
        environment: dict[str, str] | None = None,
        grace_s: float = GRACE_S,
        resources: VmResources | None = None,
    ) -> None:
        self.group = group
        self.resources = resources or VmResources()
        self.grace_s = grace_s
        self.environment = environment
        self.open_store_link = open_store_link
        self.store_links: dict[str, Any] = {}
        self.folder = folder
        self.store = StandInRowStore()
        self.store_address = f"{HOST}:{free_port()}"
        self.stop = anyio.Event()
        self.store_closed = anyio.Event()
        self.servers: dict[str, SteeredBackend] = {}
        self.registrations: dict[str, dict[str, Any]] = {}
        self.vms: list[Vm] = []
        self.http_port, self.readiness_port, self.directory_port = (
            free_port(),
            free_port(),
            free_port(),
        )
        self.peer_port = free_port()

    async def start(self, vms: int, servers: int, behaviour: SteeredBehaviour) -> None:
        """Start the store, servers and VMs, and wait until every VM is ready."""
        self.group.start_soon(serve_app, self.store, self.store_address, self.store_closed)
        self.put_configuration(1, self.resources.caller_limits)
        for number in range(servers):
            self.add_server(f"s{number}", list(REGIONS)[number % len(REGIONS)], behaviour)
        for number in range(vms):
            failure_domain = list(REGIONS)[number % len(REGIONS)]
            self.vms.append(Vm(f"vm-{number}", f"127.0.1.{number + 1}", failure_domain))
        for vm in self.vms:
            await self.start_vm(vm)
        for vm in self.vms:
            await self.wait_ready(vm)

    def put_configuration(self, version: int, caller_limits: tuple[tuple[str, float], ...]) -> None:
        """Write a configuration with some limits for callers to the store."""
        configuration = make_configuration(version)
        if self.resources.route_timeout_s is not None:
            timeout_index = configuration["routes"]["columns"].index("timeoutS")
            for row in configuration["routes"]["rows"]:
                row[timeout_index] = self.resources.route_timeout_s
        self.store.put("op", "config", {**configuration, "limits": dict(caller_limits)})

    def add_server(
        self, server_id: str, failure_domain: str, behaviour: SteeredBehaviour, **registration: Any
    ) -> None:
        """Start a backend server and write its registration to the store."""
        address = f"{HOST}:{free_port()}"
        backend = self.servers[server_id] = SteeredBackend(server_id, behaviour)
        self.group.start_soon(serve_app, backend, address, self.stop)
        info = {
            "service": "desk",
            "version": "v1",
            "zone": failure_domain,
            "capacity": behaviour.slots,
        }
        self.registrations[server_id] = {
            "address": address,
            "born": 1,
            "info": {**info, **registration},
            "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
        }
        self.store.put("servers", server_id, self.registrations[server_id])

    async def set_state(self, server_id: str, state: str) -> None:
        """Write another state of a backend server to the store."""
        registration = self.registrations[server_id]
        status = {
            **registration["status"],
            "state": state,
            "sequence": registration["status"]["sequence"] + 1,
        }
        self.registrations[server_id] = {**registration, "status": status}
        self.store.put("servers", server_id, self.registrations[server_id])

    async def start_vm(self, vm: Vm) -> None:
        """Start the daemon of a VM; its output goes to ``{vm.name}.log``."""
        store = self.store_address
        if self.open_store_link is not None:
            if vm.name not in self.store_links:
                self.store_links[vm.name] = await self.open_store_link(vm.name, store)
            store = self.store_links[vm.name].listen
        path = self.write_settings(vm, store)
        log = (self.folder / f"{vm.name}.log").open("ab")
        vm.process = await anyio.open_process(
            [sys.executable, "-m", "berylbankd", "steer", "--settings", str(path)],
            stdout=log,
            stderr=log,
            env=self.environment,
        )

    def write_settings(self, vm: Vm, store: str) -> Path:
        """Write the settings file of a VM, with the store at an address; return its path."""
        path = self.folder / f"{vm.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=vm.name,
                ip=vm.ip,
                grace_s=self.grace_s,
                failure_domain=vm.failure_domain,
                region=REGIONS[vm.failure_domain],
                first_port=self.peer_port,
                last_port=self.peer_port + 15,
                bootstrap="false" if vm.process is not None else "true",
                zones="\n".join(
                    f'{failure_domain} = "{region}"' for failure_domain, region in REGIONS.items()
                ),
                http=self.http_port,
                ready=self.readiness_port,
                directory=self.directory_port,
                store=store,
                memory_mb=self.resources.memory_mb,
                max_descriptors=self.resources.max_descriptors,
            )
        )
        return path

    async def move_store(self) -> anyio.Event:
        """Serve the store at another address too, which all settings files name from now on.

        Return the event that closes the address before.
        """
        closed, self.store_closed = self.store_closed, anyio.Event()
        self.store_address = f"{HOST}:{free_port()}"
        self.group.start_soon(serve_app, self.store, self.store_address, self.store_closed)
        for vm in self.vms:
            self.write_settings(vm, self.store_address)
        return closed

    async def wait_ready(self, vm: Vm, ready: bool = True) -> None:
        """Wait until a VM reports that it is ready, or with ``ready=False`` that it is not."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while await self.is_ready(vm) != ready:
                await anyio.sleep(0.05)

    async def is_ready(self, vm: Vm) -> bool:
        """Return whether a VM's readiness endpoint answers 200."""
        async with httpx.AsyncClient(verify=False, trust_env=False) as client:
            try:
                response = await client.get(
                    f"http://{vm.ip}:{self.readiness_port}/v1/ready", timeout=1
                )
            except httpx.HTTPError:
                return False
            return response.status_code == 200

    async def resolve(self, vm: Vm, failure_domain: str) -> list[str]:
        """Return the addresses that a VM's directory lists for callers in a failure domain."""
        params = {"name": "a.example", "region": REGIONS[failure_domain], "zone": failure_domain}
        async with httpx.AsyncClient(verify=False, trust_env=False) as client:
            url = f"http://{vm.ip}:{self.directory_port}/v1/resolve"
            response = await client.get(url, params=params, timeout=2)
            addresses: list[str] = response.json().get("addresses", [])
            return addresses

    def url(self, vm: Vm, path: str) -> str:
        """Return the callers' URL of a path at a VM."""
        return f"http://{vm.ip}:{self.http_port}{path}"

    def read_log(self, vm: Vm) -> str:
        """Return the log of a VM so far."""
        return (self.folder / f"{vm.name}.log").read_text()

    async def aclose(self) -> None:
        """Kill the daemons and stop the stand-ins."""
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                os.kill(vm.process.pid, signal.SIGKILL)
                await vm.process.wait()
        self.store.close()
        self.store_closed.set()
        self.stop.set()


@asynccontextmanager
async def open_steering_fleet(
    vms: int = 3,
    servers: int = 3,
    behaviour: SteeredBehaviour | None = None,
    open_store_link: OpenStoreLink | None = None,
    environment: dict[str, str] | None = None,
    grace_s: float = GRACE_S,
    resources: VmResources | None = None,
) -> AsyncIterator[SteeringFleet]:
    """Run a fleet for the duration of the context."""
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as group:
            fleet = SteeringFleet(
                group, Path(folder), open_store_link, environment, grace_s, resources
            )
            try:
                await fleet.start(vms, servers, behaviour or SteeredBehaviour())
                yield fleet
            finally:
                with anyio.CancelScope(shield=True):
                    await fleet.aclose()
