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
        raise ValueError("ephemeralPorts has fewer than two ports")
    for name in ("http", "readiness", "directory"):
        parse_address(listen[name])
    parse_address(raw["platform"]["address"])
    return Deployment(
        vm=raw["nodeName"],
        host=raw["ip"],
        failure_domain=raw["zone"],
        region=raw["region"],
        regions=dict(raw["zones"]),
        callers=listen["http"],
        readiness=listen["readiness"],
        directory=listen["directory"],
        peer_port=int(ports[0]) + PEER_PORT_OFFSET,
        metrics_port=int(ports[0]) + METRICS_PORT_OFFSET,
        # The ports in ``seeds`` are for operators; the peer port is the same on every VM.
        seed_hosts=tuple(parse_address(seed).host for seed in raw.get("seeds", ())),
        store=raw["platform"]["address"],
        memory_mb=int(limits.get("memoryMb", 0)),
        cores=float(limits.get("cpuShare", 1)) * float(limits.get("cpus", 1)),
        link_mbps=float(limits.get("bandwidthMbps", 1000)),
        bounds=decode_bounds(raw.get("bounds", [])),
        first_start=raw.get("bootstrap") is True,
    )


def decode_bounds(texts: list[str]) -> Bounds:
    """Parse ``name=value`` strings; missing bounds have their default, unknown ones are ignored."""
    by_name = dict(text.split("=", 1) for text in texts)
    default = Bounds()

    def milliseconds(name: str, fallback: int) -> int:
        return int(float(by_name[name]) * 1000) if name in by_name else fallback

    def number(name: str, fallback: float) -> float:
        return float(by_name.get(name, fallback))

    return Bounds(
        contact_ms=milliseconds("contactS", default.contact_ms),
        drain_ms=milliseconds("drainS", default.drain_ms),
        grace_ms=milliseconds("graceS", default.grace_ms),
        apply_ms=milliseconds("configApplyS", default.apply_ms),
        evacuate_ms=milliseconds("evacuateS", default.evacuate_ms),
        retry_ratio=number("retryBudgetRatio", default.retry_ratio),
        retry_slack=number("budgetSlack", default.retry_slack),
        quota_window_ms=milliseconds("quotaWindowS", default.quota_window_ms),
        quota_overage=number("quotaOverage", default.quota_overage),
        quota_slack=number("quotaSlack", default.quota_slack),
        canary_share=number("canaryShare", default.canary_share),
        canary_slack=number("canarySlack", default.canary_slack),
        rollback_ms=milliseconds("rollbackS", default.rollback_ms),
        warmup_overage=number("warmupOverage", default.warmup_overage),
        warmup_slack=number("warmupSlack", default.warmup_slack),
        lookup_ttl_ms=milliseconds("ttl_max_s", default.lookup_ttl_ms),
        max_shift=number("maxShift", default.max_shift),
    )
