"""Readiness and look-up calls of the platform and of callers."""

import json

from berylbankd._internal.ingress.endpoints import LookupQuery
from berylbankd._internal.platform import names


class PlatformLookupCodec:
    """Look-up codec of the users' platform; see :class:`LookupCodec`."""

    ready_path = names.READY_PATH
    lookup_path = names.LOOKUP_PATH

    def decode_query(self, query: dict[str, list[str]]) -> LookupQuery:
        """Decode the query of a look-up."""
        host, region, domain = (query.get(name, [""])[0] for name in ("name", "region", "zone"))
        return LookupQuery(host.lower(), region, domain)

    def encode_addresses(self, addresses: list[str], ttl_ms: int) -> bytes:
        """Return the body of the response to a look-up."""
        return json.dumps({"addresses": addresses, "ttlS": ttl_ms / 1000}).encode()
