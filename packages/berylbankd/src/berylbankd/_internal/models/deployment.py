"""Identity, addresses and resources of this VM, and the bounds that the platform sets."""

from typing import NamedTuple

# Link that a core can keep busy with the responses of backend servers.
LINK_MBPS_PER_CORE = 100.0


class Bounds(NamedTuple):
    """Bounds set by the platform's operators; durations in milliseconds, shares from 0 to 1.

    ``grace_ms`` is the time that a VM has to stop. ``retry_ratio`` retries per request are allowed,
    plus ``retry_slack`` per service over all VMs. In any ``quota_window_ms`` an organisation may
    exceed its rate and burst by the ratio ``quota_overage``, plus ``quota_slack`` requests.
    ``canary_share`` limits the requests that a new version gets until it is known to be good. A
    look-up answer may be used for at most ``lookup_ttl_ms``. ``max_shift`` limits the share of a
    region's requests that may move to other regions within two seconds. The daemon reads the other
    bounds from the settings, but does not use them.
    """

    contact_ms: int = 4_000
    drain_ms: int = 2_500
    grace_ms: int = 6_000
    apply_ms: int = 2_500
    evacuate_ms: int = 5_000
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    quota_window_ms: int = 5_000
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_ms: int = 5_000
    warmup_overage: float = 1.5
    warmup_slack: float = 5.0
    lookup_ttl_ms: int = 5_000
    max_shift: float = 0.15


class Deployment(NamedTuple):
    """One VM's identity, location, addresses and resources.

    The addresses are IP:port. ``host`` is this VM's own IP address. ``regions`` maps every failure
    domain to its region. ``peer_port`` serves other VMs, over UDP for digests and TCP for rows.
    ``memory_mb`` and ``max_descriptors`` limit this process, 0 if unknown.
    ``heartbeat_ms`` is how often backend servers renew their registrations.
    ``seed_hosts`` are IP addresses of VMs that may be running. ``first_start`` tells that the whole
    fleet starts for the first time.
    """

    vm: str
    host: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    caller_address: str
    readiness_address: str
    lookup_address: str
    peer_port: int
    metrics_port: int
    seed_hosts: tuple[str, ...]
    store_address: str
    memory_mb: int
    cores: float
    link_mbps: float
    bounds: Bounds
    first_start: bool = False
    heartbeat_ms: int = 1_500
    max_descriptors: int = 0

    @property
    def capacity(self) -> float:
        """Return the VM's weight for tasks that VMs have for each other, in cores.

        A VM with a narrow link counts as less than its cores: messages wait behind responses.
        """
        return min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)
