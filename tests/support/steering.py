"""A VM's deployment and the platform's store rows, for tests of the routing decisions."""

import json

from berylbankd._internal.models.deployment import Bounds, Deployment
from berylbankd._internal.models.rows import Row, RowKey
from berylbankd._internal.models.types import BackendServer
from berylbankd._internal.platform.row_codec import PlatformRowCodec

ROW_CODEC = PlatformRowCodec()


def server_row(server_id, revision, **changes):
    document = {
        "address": "10.0.0.1:80",
        "born": 1,
        "info": {"service": "desk", "version": "v1", "zone": "a", "capacity": 4},
        "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0},
        **changes,
    }
    value = json.dumps(document).encode()
    return Row(RowKey(ROW_CODEC.servers_table, server_id), value, revision)


def make_deployment(name="vm-0", domain="a"):
    regions = {"a": "one", "b": "two"}
    host = f"10.0.0.{name[3:]}"
    return Deployment(
        name, host, domain, regions[domain], regions, f"{host}:80", "", "", 1, 2, (), "", 300,
        1.0, 1000.0, Bounds(),
    )  # fmt: skip


def make_registration(server_id="s0", domain="a", slots=4, **fields):
    values = {
        "address": "10.0.0.1:80",
        "service": "desk",
        "version": "v1",
        "draining": False,
        "warmup_left_ms": 0,
        "sequence": 1,
        "started_ms": 1,
    }
    return BackendServer(id=server_id, failure_domain=domain, slots=slots, **{**values, **fields})
