"""Names of the platform's tables, keys and headers."""

SETTINGS_VARIABLE = "BERYLBANK_NODE_FILE"
DEFAULT_SETTINGS = "/etc/berylbank/node.toml"

# Written by operators: the configuration, release orders and evacuations.
ORDERS_TABLE = "op"
CONFIGURATION_KEY = "config"
RELEASE_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
# Written by backend servers: one entry each, under the server's id.
SERVERS_TABLE = "servers"
# Written by us for operators.
STATUS_TABLE = "status"
# Written by us for us: where VMs can be reached.
VMS_TABLE = "berylbank-vms"

READY_PATH = "/v1/ready"
LOOKUP_PATH = "/v1/resolve"

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
EXPECTED_SERVER = b"x-expected-instance"
ORGANISATION = b"x-tenant"
KEY = b"x-key"
OBJECT_COOKIE = "X-Affinity-Key"
SIGNATURE = b"x-server-signature"
LOAD = b"x-server-load"
NOT_RUN = b"x-not-executed"
