"""Looks up services by path and organisations by API key in one configuration."""

from typing import NamedTuple

from berylbank._internal.models.configuration import Configuration, Service
from berylbank._internal.utils.api_keys import hash_key


class KeyGrant(NamedTuple):
    """An API key in force, and the organisation that owns it."""

    organisation: str
    key_name: str
    sha256: str
    weight: int


class RoutingTable:
    """Look-up tables of one configuration; each configuration version gets its own."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        weights = {plan.name: plan.weight for plan in configuration.plans}
        self.grants = {
            key.sha256: KeyGrant(
                organisation.name, key.name, key.sha256, weights[organisation.plan]
            )
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self.services = sorted(configuration.services, key=lambda service: -len(service.prefix))

    def find_service(self, path: str) -> Service | None:
        """Return the service whose prefix is the longest that matches ``path``."""
        return next((service for service in self.services if path.startswith(service.prefix)), None)

    def find_grant(self, key: str) -> KeyGrant | None:
        """Return the grant of a key.

        Keys are looked up by their hash, so that response times reveal nothing about them.
        """
        return self.grants.get(hash_key(key))

    def is_grant_valid(self, grant: KeyGrant) -> bool:
        """Tell whether a grant that was found earlier is still in force."""
        found = self.grants.get(grant.sha256)
        return found is not None and found.organisation == grant.organisation


def extract_route_name(path: str, prefix: str) -> str:
    """Return the name of a path's route: the first segment after the service's prefix."""
    return path[len(prefix) :].split("/", 1)[0]


def is_open_path(service: Service, path: str) -> bool:
    """Tell whether a path is open to callers without an API key."""
    return path.startswith(service.open_prefixes) if service.open_prefixes else False
