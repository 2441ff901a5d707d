"""What operators may look at, as plain documents without secrets."""

from typing import Any

from berylbank._internal.utils.records import encode
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.rates.bucket import MICROTOKENS_PER_TOKEN


def view_status(coordinator: Coordinator, running: int) -> dict[str, Any]:
    """Return the state of this VM and what it hears of the others."""
    now_ms = coordinator.clock.now_ms()
    authority = coordinator.authority
    head = authority.head
    return {
        "vm": coordinator.node.vm,
        "head": head.number if head is not None else 0,
        "known": authority.known,
        "may_act": authority.may_act(now_ms),
        "warm": authority.warm,
        "lease_ms_left": max(0, authority.lease_until_ms - now_ms),
        "store_answers": authority.store_answers(now_ms),
        "leaving": coordinator.node.leaving,
        "running": running,
        "seats": encode(head.seats) if head is not None else [],
        "owners": dict(head.owners) if head is not None else {},
        "peers": _view_peers(coordinator, now_ms),
        "backends": _view_backends(coordinator, now_ms),
        "buckets": _view_buckets(coordinator, now_ms),
        "channel": vars(coordinator.channel.counters),
    }


def view_configuration(coordinator: Coordinator) -> dict[str, Any]:
    """Return the configuration with key names only."""
    head = coordinator.authority.head
    document = encode(coordinator.authority.configuration)
    for organisation in document["organisations"]:
        organisation["keys"] = [key["name"] for key in organisation["keys"]]
    return {"number": head.number if head is not None else 0, "configuration": document}


def view_history(coordinator: Coordinator) -> dict[str, Any]:
    """Return the recent operations, oldest first."""
    head = coordinator.authority.head
    return {"operations": encode(head.operations) if head is not None else []}


def view_drain(coordinator: Coordinator, backend: str) -> dict[str, Any] | None:
    """Return how many requests still run on a draining backend server, by VM."""
    pool = coordinator.node.slots.pools.get(backend)
    if pool is None:
        return None
    running = {
        vm: counts[backend]
        for vm, counts in coordinator.node.peer_in_flight.items()
        if counts.get(backend)
    }
    if pool.in_use:
        running[coordinator.node.vm] = pool.in_use
    silent = _silent_vms(coordinator, backend)
    done = pool.backend.draining and not running and not silent
    return {
        "backend": backend,
        "draining": pool.backend.draining,
        "running": running,
        "not_heard": silent,
        "done": done,
    }


def _silent_vms(coordinator: Coordinator, backend: str) -> list[str]:
    """Return the seated VMs that have not reported on the drain of ``backend``."""
    head = coordinator.authority.head
    vms = head.seated_vms() - {coordinator.node.vm} if head is not None else frozenset()
    return sorted(vm for vm in vms if backend not in coordinator.node.peer_in_flight.get(vm, {}))


def _view_peers(coordinator: Coordinator, now_ms: int) -> list[dict[str, Any]]:
    return [
        {
            "vm": vm,
            "silent_ms": now_ms - peer.heard_ms if peer.heard_ms is not None else None,
            "ready": peer.ready,
            "leaving": peer.leaving,
            "known": peer.known,
        }
        for vm, peer in sorted(coordinator.node.peers.items())
    ]


def _view_backends(coordinator: Coordinator, now_ms: int) -> list[dict[str, Any]]:
    return [
        {
            "backend": name,
            "owner": pool.owner,
            "slots": pool.backend.slots,
            "held": pool.held(now_ms),
            "in_use": pool.in_use,
            "draining": pool.backend.draining,
            "usable": pool.is_usable(now_ms),
            "latency_ms": round(pool.health.latency_ms, 1),
        }
        for name, pool in sorted(coordinator.node.slots.pools.items())
    ]


def _view_buckets(coordinator: Coordinator, now_ms: int) -> list[dict[str, Any]]:
    return [
        {
            "organisation": name.organisation,
            "service": name.service,
            "held_share": bucket.held_share(now_ms),
            "tokens": bucket.microtokens / MICROTOKENS_PER_TOKEN,
            "waiting": len(bucket.waiters),
        }
        for name, bucket in sorted(coordinator.node.rates.buckets.items())
    ]
