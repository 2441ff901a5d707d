"""Shows whether clients that read slowly end a process, and cut each other's downloads.

Many clients of one VM come at once, and download a long response each. The platform kills a process
that takes more than `memoryMb`, and starts it again. The clients read 64 KB a second each; with
TROUBLE=0 they read as fast as they can.
"""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from fleet import BOUNDS, Fleet, Record, Vm  # noqa: E402
from http_connection import read_message  # noqa: E402
from replaced_routes import HOST, ZONES, add_version  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-of-mill-one"
SERVICE, LOOKUPS = "scan-vault", "lookup-desk"
MEMORY_MB = 300
CLIENTS = 300
# All clients come within this time, and leave after it.
START_S, STAY_S = 7.0, 45.0
BODY_BYTES = 8_000_000
READ_BYTES, READ_INTERVAL_S = 49_152, 0.25
RECEIVE_BUFFER_BYTES = 16_384
# More cut requests than this break the rule.
ALLOWED_CUTS = 3


def make_configuration() -> dict[str, Any]:
    """Return a configuration with one route to each service."""
    columns = ["name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority"]
    columns += ["maxAttempts", "public", "sticky", "allowedRegions", "service"]
    return {
        "version": "r1",
        "routes": {
            "columns": columns,
            "rows": [
                ["packs", HOST, "/packs/", "download", 60, 0.5, 1, 2, False, False, [], SERVICE],
                ["looks", HOST, "/looks/", "safe", 2, 0.5, 1, 2, False, False, [], LOOKUPS],
            ],
        },
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "warmupS", "warmupPerS"],
            "rows": [[name, "/health", 330, 3.0, 20.0] for name in (SERVICE, LOOKUPS)],
        },
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "tenants": {
            "columns": ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"],
            "rows": [["mill-one", [KEY], 0, 0, 0, []]],
        },
    }  # fmt: skip


def read_memory_mb(vm: Vm) -> float:
    """Return the resident memory of a VM's process."""
    assert vm.process is not None
    try:
        for line in Path(f"/proc/{vm.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def watch_memory(fleet: Fleet, vm: Vm, kills: list[float]) -> None:
    """Kill a process that exceeds its memory, and start it again, as the platform does."""
    most_mb = said_mb = 0.0
    while True:
        await asyncio.sleep(0.1)
        memory_mb = read_memory_mb(vm)
        most_mb = max(most_mb, memory_mb)
        if memory_mb >= said_mb + 50:
            said_mb = memory_mb
            fleet.record.say(f"{vm.name} takes {memory_mb:.0f} MB")
        if memory_mb > MEMORY_MB:
            assert vm.process is not None
            fleet.record.say(f"{vm.name} takes {memory_mb:.0f} MB and is killed")
            kills.append(fleet.record.now_s())
            vm.process.send_signal(signal.SIGKILL)
            vm.process.wait()
            said_mb = 0.0
            await asyncio.sleep(0.5)
            fleet.start_vm(vm, first_start=False)


def make_request(path: str, request_id: str) -> bytes:
    """Return a request without a body."""
    fields = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "60000", "X-Key": KEY}
    lines = [f"GET {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def download(fleet: Fleet, vm: Vm, number: int, end_s: float) -> tuple[str, bool]:
    """Download a response on a kept connection; return its request's id, and whether it was cut."""
    await asyncio.sleep(number * START_S / CLIENTS)
    request_id = f"download-{number}"
    received, status, is_cut = 0, "0", False
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    client.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(client, (vm.ip, fleet.ports["http"]))
        reader, writer = await asyncio.open_connection(sock=client, limit=READ_BYTES)
        writer.write(make_request("/looks/one", f"lookup-{number}"))
        await read_message(reader)
        writer.write(make_request("/packs/one", request_id))
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = head.split(" ")[1]
        while status == "200" and received < BODY_BYTES and fleet.record.now_s() < end_s:
            part = await reader.read(READ_BYTES)
            if not part:
                is_cut = True
                break
            received += len(part)
            if TROUBLE:
                await asyncio.sleep(READ_INTERVAL_S)
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        is_cut = True
        client.close()
    fleet.record.write("ANSWER", id=request_id, status=status, bytes=received, cut=is_cut)
    return request_id, is_cut


async def run(fleet: Fleet) -> int:
    """Play the case; return the exit code."""
    record = fleet.record
    await fleet.start_store()
    fleet.store.put("op", "config", make_configuration())
    await add_version(fleet, LOOKUPS, "v1", 12, 9)
    for instance in await add_version(fleet, SERVICE, "v1", 12, 9):
        instance.body_bytes = BODY_BYTES
    for number, zone in enumerate(("mid-one", "north-one", "south-one"), 1):
        fleet.start_vm(Vm(f"edge-{number}", f"127.0.8.{number}", zone), first_start=True)
    await fleet.wait_ready()
    await asyncio.sleep(BOUNDS["contactS"])
    vm = fleet.vms["edge-1"]
    record.say(f"all VMs are ready; {vm.name} takes {read_memory_mb(vm):.0f} MB")
    kills: list[float] = []
    watcher = asyncio.create_task(watch_memory(fleet, vm, kills))
    end_s = record.now_s() + START_S + STAY_S
    answers = await asyncio.gather(*(download(fleet, vm, n, end_s) for n in range(CLIENTS)))
    watcher.cancel()
    packs = [item for item in fleet.instances.values() if item.service == SERVICE]
    ran = {run.request_id for item in packs for run in item.runs}
    cut = [request_id for request_id, is_cut in answers if is_cut and request_id in ran]
    record.say(f"{len(answers)} requests, {len(ran)} of them ran")
    record.say(f"{len(kills)} ends of a process, {read_memory_mb(vm):.0f} MB at the end")
    record.say(f"{len(cut)} requests reached an instance and were cut")
    record.say("LOST is broken" if kills and len(cut) > ALLOWED_CUTS else "LOST held")
    return 1 if kills and len(cut) > ALLOWED_CUTS else 0


def main() -> int:
    """Play the case and end all processes."""
    fleet = Fleet(Record(FOLDER / "record.txt"), ZONES)
    try:
        return asyncio.run(asyncio.wait_for(run(fleet), 112))
    except Exception as error:  # the case could not run
        fleet.record.say(f"the case could not run: {error!r}")
        return 2
    finally:
        fleet.end()


if __name__ == "__main__":
    sys.exit(main())
