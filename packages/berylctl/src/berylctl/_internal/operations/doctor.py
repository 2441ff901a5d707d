"""Diagnoses problems of the fleet from the status documents of all VMs."""

from typing import Any, NamedTuple

MAX_PEER_SILENCE_MS = 3_000


class Finding(NamedTuple):
    """A problem, the VM or object that has it, and the remedy."""

    where: str
    problem: str
    remedy: str


def find_problems(views: dict[str, Any]) -> list[Finding]:
    """Return the problems of a fleet, given each VM's status or None, by address."""
    findings = [
        Finding(address, "VM does not answer", "check that it runs; see operators/failures.md")
        for address, view in views.items()
        if view is None
    ]
    answered = [view for view in views.values() if view is not None]
    for view in answered:
        findings.extend(_examine_vm(view))
    heads = {view["head"] for view in answered}
    if len(heads) > 1:
        findings.append(
            Finding("fleet", f"VMs are on heads {sorted(heads)}", "wait 3 s and run doctor again")
        )
    if answered:
        findings.extend(_examine_rights(max(answered, key=lambda view: view["head"])))
    return findings


def _examine_vm(view: dict[str, Any]) -> list[Finding]:
    findings = []
    if not view["store_answers"]:
        findings.append(
            Finding(view["vm"], "gets no answer from the store", "see failures.md, store")
        )
    if not view["may_act"] and not view["leaving"]:
        findings.append(
            Finding(view["vm"], "refuses requests that need a key", "see failures.md, no authority")
        )
    for peer in view["peers"]:
        if peer["silent_ms"] is None or peer["silent_ms"] > MAX_PEER_SILENCE_MS:
            problem = f"has not received a heartbeat of {peer['vm']} for {peer['silent_ms']} ms"
            findings.append(
                Finding(view["vm"], problem, "check that VM and the network between both")
            )
    return findings


def _examine_rights(view: dict[str, Any]) -> list[Finding]:
    """Find missing rate shares, slot groups without an owner and unusable backend servers."""
    findings = []
    if any(seat["share"] == 0 for seat in view["seats"]):
        findings.append(
            Finding("fleet", "rate shares are not assigned yet", "wait 10 s and run doctor again")
        )
    ownerless = sorted(b["backend"] for b in view["backends"] if b["owner"] is None)
    if ownerless:
        problem = f"no VM owns the slots of {', '.join(ownerless)}"
        findings.append(Finding("fleet", problem, "wait 10 s; assigning an owner needs the store"))
    for backend in view["backends"]:
        if not backend["usable"] and not backend["draining"]:
            findings.append(
                Finding(
                    backend["backend"], "fails or rejects requests", "check that backend server"
                )
            )
    return findings
