"""Apply to in force on twelve real VMs: quiet, under traffic, with one frozen, store slow."""

import signal
import threading
import time
from collections.abc import Callable

from fleet import HOST, Fleet

from benches.report import print_result, print_rows
from benches.twelve import open_fleet

VMS = 12
QUIET_CHANGES = 200
OTHER_CHANGES = 20
STORE_SLOW_MS = 300
FROZEN = "south-004"
FROZEN_S = 1.0
WATCHED_S = 3.5
ENTRY = "north-001"


def time_changes(fleet: Fleet, count: int) -> list[float]:
    """Drain and undrain a backend server many times; return ms until in force."""
    took = []
    for index in range(count):
        begin = time.monotonic()
        change = {"backend": "lookup-mid", "draining": index % 2 == 0}
        state = fleet.change(ENTRY, "set-draining", change, wait_ms=10_000)
        took.append((time.monotonic() - begin) * 1000)
        if state["state"] != "in_force":
            raise RuntimeError(state)
    return sorted(took)


def under_traffic(fleet: Fleet, key: str, action: Callable[[], list[float]]) -> list[float]:
    """Run an action while one caller uses a VM."""
    stop = threading.Event()

    def call() -> None:
        import httpx

        with httpx.Client(trust_env=False) as client:
            url = f"http://{HOST}:{fleet.ports['mid-001'].callers}/lookup/oak"
            while not stop.is_set():
                client.get(url, headers={"authorization": f"Bearer {key}"})

    caller = threading.Thread(target=call)
    caller.start()
    try:
        return action()
    finally:
        stop.set()
        caller.join()


def time_withdrawals(fleet: Fleet, count: int, with_fault: bool) -> float:
    """Withdraw keys under use on every VM; return the latest success after one, in ms."""
    latest = 0.0
    for index in range(count):
        name = f"bench-{with_fault}-{index}"
        headers = {"authorization": f"Bearer {fleet.grant_key('org-1', name)}"}
        if with_fault:
            fleet.signal(FROZEN, signal.SIGSTOP)
        begin = time.monotonic()
        change = {"organisation": "org-1", "key_name": name}
        fleet.change(ENTRY, "withdraw-key", change, wait_ms=0)
        frozen = with_fault
        while time.monotonic() - begin < WATCHED_S:
            if frozen and time.monotonic() - begin > FROZEN_S:
                fleet.signal(FROZEN, signal.SIGCONT)
                frozen = False
            names = [vm for vm in fleet.ports if not (frozen and vm == FROZEN)]
            for vm in names:
                sent = time.monotonic()
                url = f"http://{HOST}:{fleet.ports[vm].callers}/lookup/oak"
                if fleet.http.get(url, headers=headers).status_code == 200:
                    latest = max(latest, (sent - begin) * 1000)
    return latest


def main() -> int:
    """Run every condition on one fleet."""
    found: dict[str, list[float]] = {}
    with open_fleet(VMS) as fleet:
        key = fleet.grant_key("org-0", "bench")
        found["quiet"] = time_changes(fleet, QUIET_CHANGES)
        found["under traffic"] = under_traffic(
            fleet, key, lambda: time_changes(fleet, OTHER_CHANGES)
        )
        fleet.platform_state(latency_ms=STORE_SLOW_MS)
        found["store slow"] = time_changes(fleet, OTHER_CHANGES // 2)
        fleet.platform_state(latency_ms=0)
        withdrawn_ms = time_withdrawals(fleet, 3, with_fault=False)
        withdrawn_frozen_ms = time_withdrawals(fleet, 3, with_fault=True)
        fleet.signal(FROZEN, signal.SIGSTOP)
        found["one VM frozen"] = time_changes(fleet, 3)
        fleet.signal(FROZEN, signal.SIGCONT)
    rows = [
        (name, len(took), *(f"{value:.0f}" for value in quantiles(took)))
        for name, took in found.items()
    ]
    print_rows(
        "ms from apply to in force, 12 VMs", ("condition", "changes", "p50", "p99", "max"), rows
    )
    figures = {name.replace(" ", "_") + "_max_ms": round(took[-1]) for name, took in found.items()}
    figures["quiet_p99_ms"] = round(quantiles(found["quiet"])[1])
    figures["last_success_after_withdrawal_ms"] = round(withdrawn_ms)
    figures["last_success_with_a_vm_frozen_ms"] = round(withdrawn_frozen_ms)
    print_result("config", figures)
    return 0


def quantiles(took: list[float]) -> tuple[float, float, float]:
    """Return p50, p99 and the maximum of sorted values."""
    return took[len(took) // 2], took[min(len(took) - 1, int(len(took) * 0.99))], took[-1]
