"""Merges what VMs report into sums for failure domains and for the fleet.

Decisions need sums over all VMs: requests in flight by backend server, demand by region, evidence
on releases. With hundreds of VMs, a list of every VM's reports would cost bytes and processor time
in proportion to their number on every one of them. Merging is associative, so that a sum of sums
is the same as the sum of all reports.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from berylbankd._internal.peers.messages import (
    RegionSums,
    ReleaseReport,
    RouteEvidence,
    StateDigest,
)


def hash_name(name: str) -> int:
    """Return the 32-bit hash by which VMs refer to a service, organisation or backend server."""
    return xxhash.xxh32_intdigest(name.encode())


class FleetSums(NamedTuple):
    """Merged state of several VMs; amounts are by the hash of the name that they belong to.

    ``demands`` and ``organisations`` are by region. ``limits`` are the lowest rates that VMs saw
    servers name, 0 if they only saw the end of a limit. ``age_ms`` is the age of the oldest part.
    """

    loads: dict[int, float]
    demands: dict[str, dict[int, float]]
    organisations: dict[str, dict[int, float]]
    releases: dict[tuple[str, int], ReleaseReport]
    limits: dict[int, float]
    age_ms: int = 0

    def regions(self) -> tuple[RegionSums, ...]:
        """Return the amounts by region, as sent in a digest."""
        return tuple(
            RegionSums(region, self.demands.get(region, {}), self.organisations.get(region, {}))
            for region in sorted(self.demands.keys() | self.organisations.keys())
        )


def make_empty_sums() -> FleetSums:
    """Return the sums over no VM."""
    return FleetSums({}, {}, {}, {}, {})


def merge_digests(parts: Iterable[tuple[StateDigest, int]]) -> FleetSums:
    """Return the sums over digests, each with the time in milliseconds since it was received."""
    sums = make_empty_sums()
    oldest_ms = 0
    for digest, received_before_ms in parts:
        oldest_ms = max(oldest_ms, digest.age_ms + received_before_ms)
        _add_amounts(sums.loads, digest.loads)
        _merge_limits(sums.limits, digest.limits)
        for item in digest.regions:
            _add_amounts(sums.demands.setdefault(item.region, {}), item.demands)
            organisations = sums.organisations.setdefault(item.region, {})
            for key, amount in item.organisations.items():
                # Two VMs of a region can both report for a moment when the owner changes.
                organisations[key] = max(amount, organisations.get(key, 0.0))
        for report in digest.releases:
            order = (report.service, report.revision)
            known = sums.releases.get(order)
            sums.releases[order] = merge_reports(known, report) if known is not None else report
    return sums._replace(age_ms=oldest_ms)


def subtract_own(sums: FleetSums, own: StateDigest | None) -> FleetSums:
    """Return the sums over the fleet without the report that this VM contributed to them."""
    if own is None:
        return sums
    loads = _subtract_amounts(sums.loads, own.loads)
    demands = dict(sums.demands)
    for item in own.regions:
        demands[item.region] = _subtract_amounts(demands.get(item.region, {}), item.demands)
    releases = dict(sums.releases)
    for report in own.releases:
        key = (report.service, report.revision)
        if key in releases:
            releases[key] = _subtract_report(releases[key], report)
    return sums._replace(loads=loads, demands=demands, releases=releases)


def merge_reports(first: ReleaseReport, second: ReleaseReport) -> ReleaseReport:
    """Return what two reports on the same release say together."""
    by_route = {item.route: item for item in first.evidence}
    for item in second.evidence:
        known = by_route.get(item.route)
        by_route[item.route] = _combine_evidence(known, item, 1) if known is not None else item
    return first._replace(
        step=max(first.step, second.step),
        lowest_step=min(first.lowest_step, second.lowest_step),
        rolled_back=first.rolled_back or second.rolled_back,
        elapsed_ms=max(first.elapsed_ms, second.elapsed_ms),
        old_in_flight=first.old_in_flight + second.old_in_flight,
        evidence=tuple(by_route.values()),
    )


def _subtract_report(total: ReleaseReport, own: ReleaseReport) -> ReleaseReport:
    own_by_route = {item.route: item for item in own.evidence}
    evidence = tuple(
        (
            _combine_evidence(item, own_by_route[item.route], -1)
            if item.route in own_by_route
            else item
        )
        for item in total.evidence
    )
    old_in_flight = max(0, total.old_in_flight - own.old_in_flight)
    return total._replace(evidence=evidence, old_in_flight=old_in_flight)


def _combine_evidence(first: RouteEvidence, second: RouteEvidence, sign: int) -> RouteEvidence:
    """Add or subtract counts; none falls below 0, as the own report may not be in the sum yet."""
    return RouteEvidence(
        first.route,
        max(0, first.new_requests + sign * second.new_requests),
        max(0, first.new_bad + sign * second.new_bad),
        max(0, first.old_requests + sign * second.old_requests),
        max(0, first.old_bad + sign * second.old_bad),
    )


def _add_amounts(total: dict[int, float], amounts: Mapping[int, float]) -> None:
    for key, amount in amounts.items():
        total[key] = total.get(key, 0.0) + amount


def _merge_limits(total: dict[int, float], limits: Mapping[int, float]) -> None:
    """Keep the lowest limit of each server; its end counts only if no VM still sees a limit."""
    for key, rate_per_s in limits.items():
        seen = [rate for rate in (rate_per_s, total.get(key, 0.0)) if rate > 0]
        total[key] = min(seen, default=0.0)


def _subtract_amounts(total: Mapping[int, float], amounts: Mapping[int, float]) -> dict[int, float]:
    rest = dict(total)
    for key, amount in amounts.items():
        if key in rest:
            rest[key] = max(0.0, rest[key] - amount)
    return rest
