"""Names of the platform's settings variable, tables, row keys, paths and headers."""

SETTINGS_PATH_VARIABLE = "BERYLBANK_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/berylbank/node.toml"

# Table written by operators: the configuration, release orders and evacuation orders.
ORDERS_TABLE = "op"
CONFIGURATION_KEY = "config"
RELEASE_KEY_PREFIX = "rollout/"
EVACUATION_KEY_PREFIX = "evacuate/"
# Table written by backend servers: one registration for each server, under its id.
SERVERS_TABLE = "servers"
# Table written by berylbank for operators: release states.
STATUS_TABLE = "status"
# Table written and read by berylbank: the hosts of VMs, for discovery.
VMS_TABLE = "berylbank-vms"

READY_PATH = "/v1/ready"
LOOKUP_PATH = "/v1/resolve"

REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_MS_HEADER = b"x-deadline-ms"
EXPECTED_SERVER_HEADER = b"x-expected-instance"
ORGANISATION_HEADER = b"x-tenant"
API_KEY_HEADER = b"x-key"
OBJECT_KEY_COOKIE = "X-Affinity-Key"
SIGNATURE_HEADER = b"x-server-signature"
LOAD_HEADER = b"x-server-load"
LIMIT_HEADER = b"server-limit"
LEAVING_HEADER = b"server-leaving"
NOT_EXECUTED_HEADER = b"x-not-executed"
# In each answer of the store: a number that rises when the store comes back from a copy.
ERA_HEADER = "store-era"
