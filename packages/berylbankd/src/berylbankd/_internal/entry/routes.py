"""Finds services by path and organisations by key, from one configuration."""

from typing import NamedTuple

from berylbank._internal.models.configuration import Configuration, Service
from berylbank._internal.utils.secrets import hash_key


class Grant(NamedTuple):
    """A key that is in force and whose it is."""

    organisation: str
    key_name: str
    sha256: str
    weight: int


class Routes:
    """Tables derived from one configuration; built anew for each."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        weights = {plan.name: plan.weight for plan in configuration.plans}
        self.grants = {
            key.sha256: Grant(org.name, key.name, key.sha256, weights[org.plan])
            for org in configuration.organisations
            for key in org.keys
        }
        self.services = sorted(configuration.services, key=lambda s: -len(s.prefix))

    def find_service(self, path: str) -> Service | None:
        """Return the service with the longest prefix of ``path``."""
        return next((s for s in self.services if path.startswith(s.prefix)), None)

    def find_grant(self, key: str) -> Grant | None:
        """Return the grant of a key; it is found by its hash, so time tells nothing of it."""
        return self.grants.get(hash_key(key))

    def still_grants(self, grant: Grant) -> bool:
        """Tell whether a grant found earlier is still in force."""
        found = self.grants.get(grant.sha256)
        return found is not None and found.organisation == grant.organisation


def route_of(path: str, prefix: str) -> str:
    """Return the first part of a path after the service's prefix."""
    return path[len(prefix) :].split("/", 1)[0]


def is_open(service: Service, path: str) -> bool:
    """Tell whether a path is open to callers without a key."""
    return path.startswith(service.open_prefixes) if service.open_prefixes else False
