"""Reads the settings file that the platform writes, and returns a :class:`Deployment`."""

import tomllib
from pathlib import Path
from typing import Any

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.addresses import parse_address
from berylbankd._internal.models.deployment import Bounds, Deployment

SETTINGS_HINT = "the platform writes this file; report the missing field to its operators"
# Offsets into the range ``ephemeralPorts``, whose ports are free for traffic between VMs.
PEER_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1
DEFAULT_HEARTBEAT_S = 1.5


def load_deployment(path: Path) -> Deployment:
    """Read and check a settings file; unknown fields are ignored.

    :raises InvalidDocumentError: with the file, the missing or invalid field and a hint.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(
            str(error), context=str(path), hint="name a readable TOML file"
        ) from None
    try:
        return decode_deployment(raw)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise InvalidDocumentError(
            f"{type(error).__name__}: {error}", context=str(path), hint=SETTINGS_HINT
        ) from None


def decode_deployment(raw: dict[str, Any]) -> Deployment:
    """Return the deployment that the fields of a settings file describe."""
    listen, limits, ports = raw["listen"], raw.get("limits", {}), raw["ephemeralPorts"]
    if int(ports[0]) + METRICS_PORT_OFFSET > int(ports[1]):
        raise ValueError("ephemeralPorts must have at least two ports, for VMs and for metrics")
    for name in ("http", "readiness", "directory"):
        parse_address(listen[name])
    parse_address(raw["platform"]["address"])
    return Deployment(
        vm=raw["nodeName"],
        host=raw["ip"],
        failure_domain=raw["zone"],
        region=raw["region"],
        regions=dict(raw["zones"]),
        caller_address=listen["http"],
        readiness_address=listen["readiness"],
        lookup_address=listen["directory"],
        peer_port=int(ports[0]) + PEER_PORT_OFFSET,
        metrics_port=int(ports[0]) + METRICS_PORT_OFFSET,
        # The ports in ``seeds`` are for operators; the peer port is the same on every VM.
        seed_hosts=tuple(parse_address(seed).host for seed in raw.get("seeds", ())),
        store_address=raw["platform"]["address"],
        memory_mb=int(limits.get("memoryMb", 0)),
        max_descriptors=int(limits.get("maxFds", 0)),
        cores=float(limits.get("cpuShare", 1)) * float(limits.get("cpus", 1)),
        link_mbps=float(limits.get("bandwidthMbps", 1000)),
        bounds=decode_bounds(raw.get("bounds", [])),
        first_start=raw.get("bootstrap") is True,
        heartbeat_ms=int(float(raw.get("heartbeatS", DEFAULT_HEARTBEAT_S)) * 1000),
    )


def decode_bounds(assignments: list[str]) -> Bounds:
    """Parse ``name=value`` strings; a missing bound gets its default, an unknown one is ignored."""
    by_name = dict(assignment.split("=", 1) for assignment in assignments)
    default = Bounds()

    def parse_ms(name: str, default_ms: int) -> int:
        return int(float(by_name[name]) * 1000) if name in by_name else default_ms

    def parse_number(name: str, default_value: float) -> float:
        return float(by_name.get(name, default_value))

    return Bounds(
        contact_ms=parse_ms("contactS", default.contact_ms),
        drain_ms=parse_ms("drainS", default.drain_ms),
        grace_ms=parse_ms("graceS", default.grace_ms),
        apply_ms=parse_ms("configApplyS", default.apply_ms),
        evacuate_ms=parse_ms("evacuateS", default.evacuate_ms),
        retry_ratio=parse_number("retryBudgetRatio", default.retry_ratio),
        retry_slack=parse_number("budgetSlack", default.retry_slack),
        quota_window_ms=parse_ms("quotaWindowS", default.quota_window_ms),
        quota_overage=parse_number("quotaOverage", default.quota_overage),
        quota_slack=parse_number("quotaSlack", default.quota_slack),
        canary_share=parse_number("canaryShare", default.canary_share),
        canary_slack=parse_number("canarySlack", default.canary_slack),
        rollback_ms=parse_ms("rollbackS", default.rollback_ms),
        warmup_overage=parse_number("warmupOverage", default.warmup_overage),
        warmup_slack=parse_number("warmupSlack", default.warmup_slack),
        lookup_ttl_ms=parse_ms("ttl_max_s", default.lookup_ttl_ms),
        max_shift=parse_number("maxShift", default.max_shift),
    )
