"""Names of the platform's settings variable, tables, row keys, paths and headers."""

SETTINGS_PATH_VARIABLE = "BERYLBANK_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/berylbank/node.toml"

# Written by operators: the configuration, release orders and evacuation orders.
ORDERS_TABLE = "op"
CONFIGURATION_KEY = "config"
RELEASE_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
# Written by backend servers: one entry for each server, under its id.
SERVERS_TABLE = "servers"
# Written by berylbank for operators: release states.
STATUS_TABLE = "status"
# Written and read by berylbank: the hosts of VMs, for discovery.
VMS_TABLE = "berylbank-vms"

READY_PATH = "/v1/ready"
LOOKUP_PATH = "/v1/resolve"

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
EXPECTED_SERVER = b"x-expected-instance"
ORGANISATION = b"x-tenant"
API_KEY = b"x-key"
OBJECT_COOKIE = "X-Affinity-Key"
SIGNATURE = b"x-server-signature"
LOAD = b"x-server-load"
NOT_EXECUTED = b"x-not-executed"
