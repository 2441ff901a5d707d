"""Command line of the fault soak: ``python -m soak --seeds 20``, or ``--seed 7`` to repeat one."""

import secrets
import sys
from pathlib import Path
from typing import Annotated

import anyio
import cyclopts

from soak.runner import SoakResult, run_seed

app = cyclopts.App(name="soak", help="Inject random faults into a fleet of daemons.")
LOG_FOLDER = Path("target/soak")


def report(result: SoakResult) -> None:
    """Print the result of a seed: its counts, and its faults if there were violations."""
    statuses = " ".join(f"{status}:{count}" for status, count in sorted(result.statuses.items()))
    print(
        f"seed {result.seed}: {result.requests} requests ({statuses}), {len(result.faults)} faults,"
    )
    print(f"  {len(result.violations)} violations", flush=True)
    for line in result.violations[:10]:
        print(f"  {line}")
    if result.violations:
        for fault in result.faults:
            print(
                f"  {fault.at_s:6.2f} s {fault.kind} for {fault.duration_s:.1f} s,"
                f" {fault.target_number}"
            )


@app.default
def run(
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="number of random seeds")] = 5,
    seed: Annotated[int | None, cyclopts.Parameter(help="seed to repeat")] = None,
    seconds: Annotated[float, cyclopts.Parameter(help="duration of each schedule")] = 12.0,
    vms: Annotated[int, cyclopts.Parameter(help="number of VMs")] = 4,
    servers: Annotated[int, cyclopts.Parameter(help="number of backend servers")] = 5,
    planned: Annotated[bool, cyclopts.Parameter(help="only planned operations")] = False,
    busy: Annotated[bool, cyclopts.Parameter(help="queued, cold and slow servers")] = False,
    copies: Annotated[bool, cyclopts.Parameter(help="the store comes back from copies")] = False,
) -> int:
    """Run seeds one after the other; exit with 1 if a guarantee was violated."""
    chosen = [seed] if seed is not None else [secrets.randbelow(10**6) for _ in range(seeds)]
    print("seeds:", *chosen, flush=True)
    results = []
    for current_seed in chosen:
        results.append(
            anyio.run(
                run_seed, current_seed, seconds, vms, servers, LOG_FOLDER, planned, busy, copies
            )
        )
        report(results[-1])
    failed = [result for result in results if result.violations]
    print(
        f"{len(results)} seeds, {sum(r.requests for r in results)} requests,"
        f" {len(failed)} with violations"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app())
