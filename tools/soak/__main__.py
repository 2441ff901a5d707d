"""Play seeds: ``python -m soak --seeds 20`` or ``--seed 7`` for one again."""

import secrets
import sys
from pathlib import Path
from typing import Annotated

import anyio
import cyclopts

from soak.runner import SoakResult, play_seed

app = cyclopts.App(name="soak", help="Play random faults against real daemons.")
LOGS = Path("target/soak")


def report(result: SoakResult) -> None:
    """Print one seed's line, and what it broke."""
    statuses = " ".join(f"{status}:{count}" for status, count in sorted(result.statuses.items()))
    print(f"seed {result.seed}: {result.calls} calls ({statuses}), {len(result.faults)} faults,")
    print(f"  {len(result.broken)} promises broken", flush=True)
    for line in result.broken[:10]:
        print(f"  {line}")
    if result.broken:
        for fault in result.faults:
            print(f"  {fault.at_s:6.2f} s {fault.kind} for {fault.for_s:.1f} s, {fault.target}")


@app.default
def run(
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="how many fresh seeds")] = 5,
    seed: Annotated[int | None, cyclopts.Parameter(help="one seed to play again")] = None,
    seconds: Annotated[float, cyclopts.Parameter(help="length of each schedule")] = 12.0,
    vms: Annotated[int, cyclopts.Parameter(help="daemons")] = 4,
    servers: Annotated[int, cyclopts.Parameter(help="backend servers")] = 5,
) -> int:
    """Play seeds one after the other; exit with 1 where a promise was broken."""
    chosen = [seed] if seed is not None else [secrets.randbelow(10**6) for _ in range(seeds)]
    print("seeds:", *chosen, flush=True)
    results = []
    for each in chosen:
        results.append(anyio.run(play_seed, each, seconds, vms, servers, LOGS))
        report(results[-1])
    broken = [result for result in results if result.broken]
    print(f"{len(results)} seeds, {sum(r.calls for r in results)} calls, {len(broken)} with a find")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(app())
