"""Simulated releases: requests sent to bad versions, and whether good ones finish in time."""

from concurrent.futures import ProcessPoolExecutor

from benches.report import print_result, print_rows
from tests.support.releases import BEHAVIOURS, TIME_LIMIT_MS, ReleaseResult, SimulatedRelease

GOOD_RUNS = 200
BAD_RUNS = 20


def run_release(job: tuple[str, int]) -> ReleaseResult:
    """Run one simulated release."""
    behaviour, seed = job
    return SimulatedRelease(seed, behaviour).run()


def main() -> int:
    """Run releases of every behaviour with fixed seeds."""
    rows, figures = [], {}
    with ProcessPoolExecutor(6) as pool:
        for behaviour in BEHAVIOURS:
            count = GOOD_RUNS if behaviour == "good" else BAD_RUNS
            results = list(pool.map(run_release, [(behaviour, seed) for seed in range(count)]))
            done = sum(r.state == "done" and r.duration_ms < TIME_LIMIT_MS for r in results)
            share = max(r.to_target / r.requests for r in results)
            rows.append(
                (
                    behaviour,
                    count,
                    done,
                    sum(r.state == "undone" for r in results),
                    max(r.to_target for r in results),
                    f"{100 * share:.2f}",
                    max(r.failed_answers for r in results),
                    max(r.to_target_after_block for r in results),
                    max(r.over_share for r in results),
                    max(r.duration_ms for r in results),
                )
            )
            figures[behaviour.replace(" ", "_")] = {
                "runs": count,
                "done": done,
                "most_share_percent": round(100 * share, 2),
                "after_evidence": max(r.to_target_after_block for r in results),
            }
    columns = (
        "behaviour",
        "runs",
        "done",
        "undone",
        "max to new",
        "%",
        "max failed",
        "2 s after block",
        "over share",
        "max ms",
    )
    print_rows("releases, 3 VMs, 300 requests/s", columns, rows)
    print_result("release", figures)
    return 0
