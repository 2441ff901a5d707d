"""Runs the processes of a small fleet on loopback, for the demo, tests and benches."""

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

BIN_FOLDER = Path(sys.executable).parent
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
FIRST_PORT = 10_000
PORT_BLOCKS = 40
PORTS_PER_BLOCK = 500


def reserve_ports() -> Iterator[int]:
    """Yield the ports of blocks that no other test process has locked.

    The lock file of a block stays locked until this process ends.
    """
    for block in range(PORT_BLOCKS):
        lock = (Path(tempfile.gettempdir()) / f"berylbank-ports-{block}.lock").open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _port_locks.append(lock)
        yield from range(
            FIRST_PORT + block * PORTS_PER_BLOCK, FIRST_PORT + (block + 1) * PORTS_PER_BLOCK
        )


_port_locks: list[TextIO] = []
_reserved_ports = reserve_ports()


class VmSpec(NamedTuple):
    """Name, region and failure domain of one VM."""

    name: str
    region: str
    failure_domain: str


class VmPorts(NamedTuple):
    """Ports of one VM on loopback: for callers, for operators and for the channel between VMs."""

    callers: int
    operators: int
    channel: int


class BackendSpec(NamedTuple):
    """Parameters of one stand-in backend server."""

    name: str
    service: str
    region: str
    failure_domain: str
    slots: int
    service_ms: int = 0
    version: str = ""


def free_port() -> int:
    """Return a port that is free now, below the range of ephemeral ports.

    A port is returned only once, and no other test process gets it.
    """
    for port in _reserved_ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port left: other test processes hold the remaining port blocks")


def wait_until(condition: Any, description: str, timeout_s: float = READY_TIMEOUT_S) -> Any:
    """Call ``condition`` until it returns a true value, and return that value.

    HTTP and operating system errors count as false. Raises TimeoutError after ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError, OSError):
            result = condition()
            if result:
                return result
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"timed out after {timeout_s} s waiting for {description}")


class Fleet:
    """The processes of one fleet; they are killed when the context ends."""

    def __init__(self, timing: dict[str, int] | None = None, vm_limit: int = 32) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="berylbank-"))
        self.timing = timing or {}
        self.vm_limit = vm_limit
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, VmPorts] = {}
        self.vm_specs: dict[str, VmSpec] = {}
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

    def start_process(self, name: str, *arguments: str) -> None:
        """Start a program from the interpreter's folder; its output goes to ``{name}.log``."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [str(BIN_FOLDER / arguments[0]), *arguments[1:]], stdout=log, stderr=log
        )

    def start_platform(self) -> None:
        """Start the stand-in platform and wait until it responds."""
        self.start_process(
            "platform", "berylbank-standins", "platform", f"{HOST}:{self.platform_port}"
        )
        wait_until(self.platform_state, "a response of the stand-in platform")

    def platform_state(self, **faults: Any) -> Any:
        """Return the state of the stand-in platform, after setting the given faults."""
        url = f"http://{HOST}:{self.platform_port}/control"
        response = self.http.post(url, json=faults) if faults else self.http.get(url)
        return response.json()

    def start_backend(self, backend_spec: BackendSpec) -> None:
        """Start one stand-in backend server and wait until it responds."""
        port = self.backend_ports.setdefault(backend_spec.name, free_port())
        self.start_process(
            backend_spec.name,
            "berylbank-standins",
            "backend",
            backend_spec.name,
            f"{HOST}:{port}",
            "--slots",
            str(backend_spec.slots),
            "--service-ms",
            str(backend_spec.service_ms),
        )
        wait_until(
            lambda: self.backend_state(backend_spec.name),
            f"a response of backend server {backend_spec.name}",
        )

    def backend_state(self, name: str, **changes: Any) -> Any:
        """Return the state of a backend server, after applying changes of its behaviour."""
        url = f"http://{HOST}:{self.backend_ports[name]}/control"
        response = self.http.post(url, json=changes) if changes else self.http.get(url)
        return response.json()

    def start_vm(self, vm_spec: VmSpec) -> None:
        """Start the daemon of one VM; a second call starts it again with the same ports."""
        self.vm_specs[vm_spec.name] = vm_spec
        ports = self.ports.setdefault(vm_spec.name, VmPorts(free_port(), free_port(), free_port()))
        path = self.folder / f"{vm_spec.name}.toml"
        path.write_text(tomli_w.dumps(self._make_settings(vm_spec, ports)))
        self.start_process(vm_spec.name, "berylbankd", "--settings", str(path))

    def wait_ready(self, names: list[str]) -> None:
        """Wait until all VMs may act, every seat has a share and each backend has an owner."""
        wait_until(lambda: all(self._is_ready(name, len(names)) for name in names), "ready VMs")

    def get_status(self, name: str) -> Any:
        """Return the status of one VM from its operators' interface."""
        return self.call_operators_api(name, "GET", "status")

    def call_operators_api(self, name: str, method: str, path: str, document: Any = None) -> Any:
        """Send a request to the operators' interface of one VM; return the JSON response."""
        return self.http.request(
            method,
            f"http://{HOST}:{self.ports[name].operators}/v1/{path}",
            json=document,
            headers={"authorization": f"Bearer {self.tokens['operate.token']}"},
        ).json()

    def submit_change(
        self, name: str, kind: str, change: dict[str, Any], wait_ms: int = 5_000
    ) -> Any:
        """Submit a change through one VM, and wait up to ``wait_ms`` for it; return its state."""
        document = {"operation_id": secrets.token_hex(8), "kind": kind, "change": change}
        return self.call_operators_api(name, "POST", f"changes?wait_ms={wait_ms}", document)

    def berylctl(self, *arguments: str, check: bool = True) -> subprocess.CompletedProcess[str]:
        """Run berylctl, the operators' command line, with the addresses of all VMs."""
        settings = {
            "vms": [f"{HOST}:{ports.operators}" for ports in self.ports.values()],
            "token_file": str(self.folder / "operate.token"),
        }
        path = self.folder / "berylctl.toml"
        path.write_text(tomli_w.dumps(settings))
        completed = subprocess.run(
            [str(BIN_FOLDER / "berylctl"), *arguments],
            env={**os.environ, "BERYLCTL_SETTINGS": str(path)},
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        if check and completed.returncode != 0:
            raise RuntimeError(
                f"berylctl {arguments[0]} failed: {completed.stdout}{completed.stderr}"
            )
        return completed

    def grant_key(self, organisation: str, name: str) -> str:
        """Grant a key with berylctl and return it."""
        completed = self.berylctl("keys", "grant", organisation, name, "--json")
        return str(json.loads(completed.stdout)["key"])

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to one process that this fleet started."""
        self.processes[name].send_signal(number)

    def wait_exit(self, name: str, timeout_s: float = 30.0) -> int:
        """Wait for a process to exit; return its exit code."""
        return self.processes[name].wait(timeout_s)

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self.folder / f"{name}.log").read_text()

    def _is_ready(self, name: str, count: int) -> bool:
        status = self.get_status(name)
        owners = {b["owner"] for b in status["backends"]}
        shares = [seat["share"] for seat in status["seats"]]
        settled = len(shares) == count and min(shares) > 0 and None not in owners
        return bool(status["may_act"] and settled)

    def _make_settings(self, vm_spec: VmSpec, ports: VmPorts) -> dict[str, Any]:
        platform = f"http://{HOST}:{self.platform_port}"
        return {
            "seats": self.vm_limit,
            "vm": {
                **vm_spec._asdict(),
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


def write_service_lists(
    fleet: Fleet, backend_specs: list[BackendSpec], services: list[dict[str, Any]]
) -> Path:
    """Write a file of services and of backend servers with the fleet's ports; return its path."""
    backends = [
        {
            "name": backend_spec.name,
            "service": backend_spec.service,
            "address": f"{HOST}:{fleet.backend_ports[backend_spec.name]}",
            "region": backend_spec.region,
            "failure_domain": backend_spec.failure_domain,
            "slots": backend_spec.slots,
            "version": backend_spec.version,
        }
        for backend_spec in backend_specs
    ]
    path = fleet.folder / "services.toml"
    path.write_text(tomli_w.dumps({"services": services, "backends": backends}))
    return path


@contextlib.contextmanager
def running_fleet(
    vm_specs: list[VmSpec], backend_specs: list[BackendSpec], timing: dict[str, int] | None = None
) -> Iterator[Fleet]:
    """Start a platform, backend servers and VMs, and wait until the VMs are ready."""
    with Fleet(timing, vm_limit=max(32, len(vm_specs) + 1)) as fleet:
        fleet.start_platform()
        for backend_spec in backend_specs:
            fleet.start_backend(backend_spec)
        for vm_spec in vm_specs:
            fleet.start_vm(vm_spec)
        fleet.wait_ready([vm_spec.name for vm_spec in vm_specs])
        yield fleet
