"""Simulated releases: requests sent to bad versions, and whether good ones finish in time."""

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from loguru import logger

from benches.report import print_result, print_rows
from tests.support.releases import BEHAVIOURS, TIME_LIMIT_MS, ReleaseResult, SimulatedRelease
from tests.support.steered_releases import (
    REGRESSIONS,
    UNRELATED_FAILURE_SHARE,
    WORK,
    Service,
    SimulatedFleet,
    keep_response,
)

GOOD_RUNS = 200
BAD_RUNS = 20
PROCESSES = 6
# Releases on the platform's path.
STEERED_VMS = 6
STEERED_REQUESTS_PER_S = 300
STEERED_DURATION_MS = 16_000
STEERED_GOOD_RUNS = 250
MEAN_WORK_MS = 200


class SteeredResult(NamedTuple):
    """The outcome of a release on the platform's path, and what the new version got of it."""

    succeeded: bool
    rolled_back: bool
    requests: int
    to_new: int
    last_sent_ms: int


def run_release(job: tuple[str, int]) -> ReleaseResult:
    """Run one simulated release."""
    behaviour, seed = job
    return SimulatedRelease(seed, behaviour).run()


def run_steered_release(job: tuple[str, int]) -> SteeredResult:
    """Run one simulated release on the platform's path."""
    behaviour, seed = job
    logger.remove()
    if behaviour in WORK:
        service = Service(
            lambda rng: WORK[behaviour](rng, MEAN_WORK_MS),
            sticky=False,
            waits=(MEAN_WORK_MS / 2, MEAN_WORK_MS * 1.5, MEAN_WORK_MS * 4),
        )
        regression = keep_response
    else:
        service, regression = Service(sticky=False), REGRESSIONS[behaviour]
    fleet = SimulatedFleet(
        STEERED_VMS, STEERED_REQUESTS_PER_S, STEERED_DURATION_MS, service, seed
    ).run(regression, UNRELATED_FAILURE_SHARE)
    return SteeredResult(
        fleet.succeeded_ms is not None,
        any(release.rolled_back for release in fleet.vms.values()),
        fleet.requests,
        len(fleet.new_sent_ms),
        max(fleet.new_sent_ms),
    )


def main() -> int:
    """Run releases of every behaviour with fixed seeds, of both interfaces."""
    figures = {"own interface": run_releases(), "platform": run_steered_releases()}
    print_result("release", figures)
    return 0


def run_steered_releases() -> dict[str, dict[str, float]]:
    """Run releases on the platform's path, print their results, and return figures of them."""
    rows, figures = [], {}
    with ProcessPoolExecutor(PROCESSES) as pool:
        for behaviour in (*WORK, *REGRESSIONS):
            count = STEERED_GOOD_RUNS if behaviour in WORK else BAD_RUNS
            jobs = [(behaviour, seed) for seed in range(count)]
            results = list(pool.map(run_steered_release, jobs))
            share = max(r.to_new / r.requests for r in results)
            rolled_back = sum(r.rolled_back for r in results)
            rows.append(
                (
                    f"good, works {behaviour} its mean" if behaviour in WORK else behaviour,
                    count,
                    sum(r.succeeded and not r.rolled_back for r in results),
                    rolled_back,
                    max(r.to_new for r in results),
                    f"{100 * share:.2f}",
                    max(r.last_sent_ms for r in results),
                )
            )
            figures[behaviour.replace(" ", "_")] = {
                "runs": count,
                "rolled_back": rolled_back,
                "most_share_percent": round(100 * share, 2),
            }
    columns = ("behaviour", "runs", "succeeded", "rolled back", "max to new", "%", "last at ms")
    title = f"platform, {STEERED_VMS} VMs, {STEERED_REQUESTS_PER_S} requests/s, 2% fail anyway"
    print_rows(title, columns, rows)
    return figures


def run_releases() -> dict[str, dict[str, float]]:
    """Run releases of the own interface, print their results, and return figures of them."""
    rows, figures = [], {}
    with ProcessPoolExecutor(PROCESSES) as pool:
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
    return figures
