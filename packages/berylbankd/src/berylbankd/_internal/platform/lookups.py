"""The calls that callers and the platform make beside requests."""

import json

from berylbankd._internal.ingress.endpoints import LookupQuery
from berylbankd._internal.platform import names


class PlatformLookups:
    """The look-up codec of the users' platform; see :class:`LookupCodec`."""

    ready_path = names.READY_PATH
    lookup_path = names.LOOKUP_PATH

    def decode_query(self, query: dict[str, list[str]]) -> LookupQuery:
        """Read a look-up's query."""
        host, region, domain = (query.get(name, [""])[0] for name in ("name", "region", "zone"))
        return LookupQuery(host.lower(), region, domain)

    def encode_addresses(self, addresses: list[str], ttl_ms: int) -> bytes:
        """Return the body of a look-up's answer."""
        return json.dumps({"addresses": addresses, "ttlS": ttl_ms / 1000}).encode()
