"""Starts and ends the processes of a small fleet on loopback, for the demo, tests and benches."""

import contextlib
import fcntl
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple, TextIO

import httpx
import tomli_w

BIN = Path(sys.executable).parent
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
FIRST_PORT = 10_000
PORT_BLOCKS = 40
PORTS_PER_BLOCK = 500


def reserve_ports() -> Iterator[int]:
    """Yield the ports of blocks that no other process of tests has; held until this one ends."""
    for block in range(PORT_BLOCKS):
        lock = (Path(tempfile.gettempdir()) / f"berylbank-ports-{block}.lock").open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _held.append(lock)
        yield from range(
            FIRST_PORT + block * PORTS_PER_BLOCK, FIRST_PORT + (block + 1) * PORTS_PER_BLOCK
        )


_held: list[TextIO] = []
_ports = reserve_ports()


class VmPlace(NamedTuple):
    """Name and place of one VM."""

    name: str
    region: str
    failure_domain: str


class VmPorts(NamedTuple):
    """Ports of one VM on loopback."""

    callers: int
    operators: int
    channel: int


class BackendPlan(NamedTuple):
    """One stand-in backend server to start."""

    name: str
    service: str
    region: str
    failure_domain: str
    slots: int
    service_ms: int = 0
    version: str = ""


def free_port() -> int:
    """Return a port that is free now, outside the range of outgoing connections.

    No other process of tests is given the same port, and none is given twice.
    """
    for port in _ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


def wait_until(condition: Any, what: str, timeout_s: float = READY_TIMEOUT_S) -> Any:
    """Wait for a condition to return something true; raise after ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError, OSError):
            found = condition()
            if found:
                return found
        time.sleep(POLL_S)
    raise TimeoutError(f"waited {timeout_s} s for {what}")


class Fleet:
    """Processes of one fleet; they end when the context ends."""

    def __init__(self, timing: dict[str, int] | None = None, vm_limit: int = 32) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="berylbank-"))
        self.timing = timing or {}
        self.vm_limit = vm_limit
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, VmPorts] = {}
        self.places: dict[str, VmPlace] = {}
        self.backend_ports: dict[str, int] = {}
        self.platform_port = free_port()
        self.http = httpx.Client(trust_env=False, timeout=20.0)
        self.tokens = {}
        for name in ("fleet.key", "operate.token", "look.token"):
            self.tokens[name] = secrets.token_hex(32)
            (self.folder / name).write_text(self.tokens[name])

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.http.close()

    def start(self, name: str, *arguments: str) -> None:
        """Start one process by its file name beside this interpreter."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [str(BIN / arguments[0]), *arguments[1:]], stdout=log, stderr=log
        )

    def start_platform(self) -> None:
        """Start the stand-in platform and wait for it."""
        self.start("platform", "berylbank-standins", "platform", f"{HOST}:{self.platform_port}")
        wait_until(self.platform_state, "the platform")

    def platform_state(self, **faults: Any) -> Any:
        """Read the platform's counters, or switch faults."""
        url = f"http://{HOST}:{self.platform_port}/control"
        answer = self.http.post(url, json=faults) if faults else self.http.get(url)
        return answer.json()

    def start_backend(self, plan: BackendPlan) -> None:
        """Start one stand-in backend server."""
        port = self.backend_ports.setdefault(plan.name, free_port())
        self.start(
            plan.name,
            "berylbank-standins",
            "backend",
            plan.name,
            f"{HOST}:{port}",
            "--slots",
            str(plan.slots),
            "--service-ms",
            str(plan.service_ms),
        )
        wait_until(lambda: self.backend_state(plan.name), f"backend {plan.name}")

    def backend_state(self, name: str, **changes: Any) -> Any:
        """Read a backend server's counters, or change its behaviour."""
        url = f"http://{HOST}:{self.backend_ports[name]}/control"
        answer = self.http.post(url, json=changes) if changes else self.http.get(url)
        return answer.json()

    def start_vm(self, place: VmPlace) -> None:
        """Start one VM; a second call restarts it under its old addresses."""
        self.places[place.name] = place
        ports = self.ports.setdefault(place.name, VmPorts(free_port(), free_port(), free_port()))
        path = self.folder / f"{place.name}.toml"
        path.write_text(tomli_w.dumps(self._settings(place, ports)))
        self.start(place.name, "berylbankd", "--settings", str(path))

    def wait_ready(self, names: list[str]) -> None:
        """Wait until the VMs serve and all rights are settled."""
        wait_until(lambda: all(self._is_settled(name, len(names)) for name in names), "the VMs")

    def status(self, name: str) -> Any:
        """Return the operators' view of one VM."""
        return self.operate(name, "GET", "status")

    def operate(self, name: str, method: str, path: str, document: Any = None) -> Any:
        """Ask one VM as an operator."""
        return self.http.request(
            method,
            f"http://{HOST}:{self.ports[name].operators}/v1/{path}",
            json=document,
            headers={"authorization": f"Bearer {self.tokens['operate.token']}"},
        ).json()

    def change(self, name: str, kind: str, change: dict[str, Any], wait_ms: int = 5_000) -> Any:
        """Submit a change through one VM."""
        document = {"operation_id": secrets.token_hex(8), "kind": kind, "change": change}
        return self.operate(name, "POST", f"changes?wait_ms={wait_ms}", document)

    def berylctl(self, *arguments: str, check: bool = True) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line."""
        settings = {
            "vms": [f"{HOST}:{ports.operators}" for ports in self.ports.values()],
            "token_file": str(self.folder / "operate.token"),
        }
        path = self.folder / "berylctl.toml"
        path.write_text(tomli_w.dumps(settings))
        done = subprocess.run(
            [str(BIN / "berylctl"), *arguments],
            env={**os.environ, "BERYLCTL_SETTINGS": str(path)},
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        if check and done.returncode != 0:
            raise RuntimeError(f"berylctl {arguments[0]}: {done.stdout}{done.stderr}")
        return done

    def grant_key(self, organisation: str, name: str) -> str:
        """Grant a key by the command line and return it."""
        done = self.berylctl("keys", "grant", organisation, name, "--json")
        return str(json.loads(done.stdout)["key"])

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process that this fleet started."""
        self.processes[name].send_signal(number)

    def wait_exit(self, name: str, timeout_s: float = 30.0) -> int:
        """Wait for a process to end and return its exit code."""
        return self.processes[name].wait(timeout_s)

    def log(self, name: str) -> str:
        """Return what a process has written."""
        return (self.folder / f"{name}.log").read_text()

    def _is_settled(self, name: str, count: int) -> bool:
        view = self.status(name)
        owned = {b["owner"] for b in view["backends"]}
        shares = [seat["share"] for seat in view["seats"]]
        settled = len(shares) == count and min(shares) > 0 and None not in owned
        return bool(view["may_act"] and settled)

    def _settings(self, place: VmPlace, ports: VmPorts) -> dict[str, Any]:
        platform = f"http://{HOST}:{self.platform_port}"
        return {
            "seats": self.vm_limit,
            "vm": {
                **place._asdict(),
                "callers": f"{HOST}:{ports.callers}",
                "operators": f"{HOST}:{ports.operators}",
                "channel": f"{HOST}:{ports.channel}",
            },
            "platform": {"table": platform, "objects": platform, "vms": platform},
            "fleet": {"key_file": str(self.folder / "fleet.key")},
            "operators": {
                "operate_token_file": str(self.folder / "operate.token"),
                "look_token_file": str(self.folder / "look.token"),
            },
            "timing": self.timing,
        }


def service_lists(fleet: Fleet, plans: list[BackendPlan], services: list[dict[str, Any]]) -> Path:
    """Write the list of services and backend servers with the fleet's ports."""
    backends = [
        {
            "name": plan.name,
            "service": plan.service,
            "address": f"{HOST}:{fleet.backend_ports[plan.name]}",
            "region": plan.region,
            "failure_domain": plan.failure_domain,
            "slots": plan.slots,
            "version": plan.version,
        }
        for plan in plans
    ]
    path = fleet.folder / "services.toml"
    path.write_text(tomli_w.dumps({"services": services, "backends": backends}))
    return path


@contextlib.contextmanager
def running_fleet(
    places: list[VmPlace], plans: list[BackendPlan], timing: dict[str, int] | None = None
) -> Iterator[Fleet]:
    """Start a platform, backend servers and VMs, and wait until the VMs are seated."""
    with Fleet(timing, vm_limit=max(32, len(places) + 1)) as fleet:
        fleet.start_platform()
        for plan in plans:
            fleet.start_backend(plan)
        for place in places:
            fleet.start_vm(place)
        fleet.wait_ready([place.name for place in places])
        yield fleet
