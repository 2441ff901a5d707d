"""JSON documents for operators on the state of this VM and the fleet, without secrets."""

from typing import Any

from berylbank._internal.utils.records import encode
from berylbankd._internal.coordinator import Coordinator
from berylbankd._internal.rates.bucket import MICROTOKENS_PER_TOKEN


def view_status(coordinator: Coordinator, running_requests: int) -> dict[str, Any]:
    """Return the state of this VM, the seats of its head and what it knows of the other VMs."""
    now_ms = coordinator.clock.now_ms()
    lease_state = coordinator.lease_state
    head = lease_state.head
    return {
        "vm": coordinator.node.vm,
        "head": head.number if head is not None else 0,
        "known": lease_state.latest_head_number,
        "may_act": lease_state.may_act(now_ms),
        "warm": lease_state.may_confirm,
        "lease_ms_left": max(0, lease_state.lease_until_ms - now_ms),
        "store_answers": lease_state.store_answered_recently(now_ms),
        "leaving": coordinator.node.leaving,
        "running": running_requests,
        "seats": encode(head.seats) if head is not None else [],
        "owners": dict(head.owners) if head is not None else {},
        "peers": _view_peers(coordinator, now_ms),
        "backends": _view_backends(coordinator, now_ms),
        "buckets": _view_buckets(coordinator, now_ms),
        "channel": vars(coordinator.channel.counters),
    }


def view_configuration(coordinator: Coordinator) -> dict[str, Any]:
    """Return the configuration, with the names of API keys only."""
    head = coordinator.lease_state.head
    document = encode(coordinator.lease_state.configuration)
    for organisation in document["organisations"]:
        organisation["keys"] = [key["name"] for key in organisation["keys"]]
    return {"number": head.number if head is not None else 0, "configuration": document}


def view_history(coordinator: Coordinator) -> dict[str, Any]:
    """Return the recent changes, oldest first."""
    head = coordinator.lease_state.head
    return {"operations": encode(head.operations) if head is not None else []}


def view_drain(coordinator: Coordinator, backend: str) -> dict[str, Any] | None:
    """Return the progress of a drain, or None for an unknown backend server.

    ``running`` are the requests in flight to it by VM, ``not_heard`` the VMs that have not reported
    on the drain yet.
    """
    pool = coordinator.node.slots.pools.get(backend)
    if pool is None:
        return None
    requests_by_vm = {
        vm: counts[backend]
        for vm, counts in coordinator.node.peer_draining_requests.items()
        if counts.get(backend)
    }
    if pool.in_use:
        requests_by_vm[coordinator.node.vm] = pool.in_use
    unreported_vms = _find_unreported_vms(coordinator, backend)
    done = pool.backend.draining and not requests_by_vm and not unreported_vms
    return {
        "backend": backend,
        "draining": pool.backend.draining,
        "running": requests_by_vm,
        "not_heard": unreported_vms,
        "done": done,
    }


def _find_unreported_vms(coordinator: Coordinator, backend: str) -> list[str]:
    """Return the other seated VMs whose last heartbeat did not report on the drain."""
    head = coordinator.lease_state.head
    vms = head.seated_vms() - {coordinator.node.vm} if head is not None else frozenset()
    return sorted(
        vm for vm in vms if backend not in coordinator.node.peer_draining_requests.get(vm, {})
    )


def _view_peers(coordinator: Coordinator, now_ms: int) -> list[dict[str, Any]]:
    return [
        {
            "vm": vm,
            "silent_ms": (
                now_ms - peer.last_heartbeat_ms if peer.last_heartbeat_ms is not None else None
            ),
            "ready": peer.ready,
            "leaving": peer.leaving,
            "known": peer.latest_head_number,
        }
        for vm, peer in sorted(coordinator.node.peers.items())
    ]


def _view_backends(coordinator: Coordinator, now_ms: int) -> list[dict[str, Any]]:
    return [
        {
            "backend": name,
            "owner": pool.owner,
            "slots": pool.backend.slots,
            "held": pool.count_held(now_ms),
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
            "organisation": key.organisation,
            "service": key.service,
            "held_share": bucket.held_share(now_ms),
            "tokens": bucket.microtokens / MICROTOKENS_PER_TOKEN,
            "waiting": len(bucket.waiters),
        }
        for key, bucket in sorted(coordinator.node.rate_limiter.buckets.items())
    ]
