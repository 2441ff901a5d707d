"""Time from submitting a change until it is in force, on twelve VM processes.

Conditions: idle, under traffic, with a slow store, and with one VM frozen by SIGSTOP.
"""

import signal
import threading
import time
from collections.abc import Callable

from fleet import HOST, Fleet

from benches.coordination_fleet import open_coordination_fleet
from benches.report import print_result, print_rows

VMS = 12
IDLE_CHANGES = 200
LOADED_CHANGES = 20
STORE_LATENCY_MS = 300
FROZEN_VM = "south-004"
FROZEN_S = 1.0
OBSERVATION_S = 3.5
ENTRY_VM = "north-001"


def time_changes(fleet: Fleet, count: int) -> list[float]:
    """Drain and undrain a backend server; return the ms until each change is in force, sorted."""
    times_ms = []
    for index in range(count):
        started = time.monotonic()
        change = {"backend": "lookup-mid", "draining": index % 2 == 0}
        state = fleet.submit_change(ENTRY_VM, "set-draining", change, wait_ms=10_000)
        times_ms.append((time.monotonic() - started) * 1000)
        if state["state"] != "in_force":
            raise RuntimeError(f"the change was not put in force: {state}")
    return sorted(times_ms)


def run_under_traffic(fleet: Fleet, key: str, action: Callable[[], list[float]]) -> list[float]:
    """Run an action while a thread sends requests to one VM in a loop."""
    stop = threading.Event()

    def send_requests() -> None:
        import httpx

        with httpx.Client(trust_env=False) as client:
            url = f"http://{HOST}:{fleet.ports['mid-001'].callers}/lookup/oak"
            while not stop.is_set():
                client.get(url, headers={"authorization": f"Bearer {key}"})

    caller = threading.Thread(target=send_requests)
    caller.start()
    try:
        return action()
    finally:
        stop.set()
        caller.join()


def time_withdrawals(fleet: Fleet, count: int, freeze_vm: bool) -> float:
    """Withdraw keys in use on every VM.

    Return the longest time from a withdrawal until a request with the key was sent and succeeded,
    in ms.

    With ``freeze_vm``, one VM is frozen before the withdrawal and resumes after ``FROZEN_S``.
    """
    latest_success_ms = 0.0
    for index in range(count):
        name = f"bench-{freeze_vm}-{index}"
        headers = {"authorization": f"Bearer {fleet.grant_key('org-1', name)}"}
        if freeze_vm:
            fleet.send_signal(FROZEN_VM, signal.SIGSTOP)
        started = time.monotonic()
        change = {"organisation": "org-1", "key_name": name}
        fleet.submit_change(ENTRY_VM, "withdraw-key", change, wait_ms=0)
        is_frozen = freeze_vm
        while time.monotonic() - started < OBSERVATION_S:
            if is_frozen and time.monotonic() - started > FROZEN_S:
                fleet.send_signal(FROZEN_VM, signal.SIGCONT)
                is_frozen = False
            names = [vm for vm in fleet.ports if not (is_frozen and vm == FROZEN_VM)]
            for vm in names:
                sent = time.monotonic()
                url = f"http://{HOST}:{fleet.ports[vm].callers}/lookup/oak"
                if fleet.http.get(url, headers=headers).status_code == 200:
                    latest_success_ms = max(latest_success_ms, (sent - started) * 1000)
    return latest_success_ms


def main() -> int:
    """Measure every condition on one fleet."""
    times_by_condition: dict[str, list[float]] = {}
    with open_coordination_fleet(VMS) as fleet:
        key = fleet.grant_key("org-0", "bench")
        times_by_condition["quiet"] = time_changes(fleet, IDLE_CHANGES)
        times_by_condition["under traffic"] = run_under_traffic(
            fleet, key, lambda: time_changes(fleet, LOADED_CHANGES)
        )
        fleet.platform_state(latency_ms=STORE_LATENCY_MS)
        times_by_condition["store slow"] = time_changes(fleet, LOADED_CHANGES // 2)
        fleet.platform_state(latency_ms=0)
        withdrawn_ms = time_withdrawals(fleet, 3, freeze_vm=False)
        withdrawn_frozen_ms = time_withdrawals(fleet, 3, freeze_vm=True)
        fleet.send_signal(FROZEN_VM, signal.SIGSTOP)
        times_by_condition["one VM frozen"] = time_changes(fleet, 3)
        fleet.send_signal(FROZEN_VM, signal.SIGCONT)
    rows = [
        (name, len(times_ms), *(f"{value:.0f}" for value in quantiles(times_ms)))
        for name, times_ms in times_by_condition.items()
    ]
    print_rows(
        "ms from apply to in force, 12 VMs", ("condition", "changes", "p50", "p99", "max"), rows
    )
    figures = {
        name.replace(" ", "_") + "_max_ms": round(times_ms[-1])
        for name, times_ms in times_by_condition.items()
    }
    figures["quiet_p99_ms"] = round(quantiles(times_by_condition["quiet"])[1])
    figures["last_success_after_withdrawal_ms"] = round(withdrawn_ms)
    figures["last_success_with_a_vm_frozen_ms"] = round(withdrawn_frozen_ms)
    print_result("config", figures)
    return 0


def quantiles(times_ms: list[float]) -> tuple[float, float, float]:
    """Return p50, p99 and the maximum of sorted values."""
    return (
        times_ms[len(times_ms) // 2],
        times_ms[min(len(times_ms) - 1, int(len(times_ms) * 0.99))],
        times_ms[-1],
    )
