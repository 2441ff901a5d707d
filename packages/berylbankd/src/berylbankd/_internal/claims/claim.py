"""The stored claim of an idempotency key, and how another request with that key is handled."""

import base64
import hashlib
import json
from enum import StrEnum
from typing import NamedTuple

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.records import RecordError, decode, encode

ROW_PREFIX = "claim"
MAX_KEY_BYTES = 255
MAX_STORED_BODY_BYTES = 65_536


class ClaimState(StrEnum):
    """What is known about the first request with a key.

    ``CLAIMED``: it may be running, or the VM that claimed the key stopped before it recorded the
    outcome. ``DONE``: it was answered. ``UNKNOWN``: it was sent to a backend server and its
    outcome is not known. ``RELEASED``: it certainly did not run.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class StoredHeader(NamedTuple):
    """One header of a stored response."""

    name: str
    value: str


class StoredResponse(NamedTuple):
    """The response to the first request; ``body`` is base64, or None if it was too large."""

    status: int
    headers: tuple[StoredHeader, ...]
    body: str | None


class Claim(NamedTuple):
    """The content of a claim's row.

    ``fingerprint`` is the hash of the request, and ``owner`` a random id that only the request
    which wrote the claim knows.
    """

    state: str
    fingerprint: str
    owner: str
    answer: StoredResponse | None = None


class ClaimDecision(StrEnum):
    """What to do with a request whose key has a claim already."""

    RUN = "run"
    OTHER_REQUEST = "other_request"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REPLAY = "replay"


DECISIONS_BY_STATE = {
    ClaimState.CLAIMED: ClaimDecision.IN_PROGRESS,
    ClaimState.DONE: ClaimDecision.REPLAY,
    ClaimState.UNKNOWN: ClaimDecision.OUTCOME_UNKNOWN,
    ClaimState.RELEASED: ClaimDecision.RUN,
}


def decide(stored: Claim, own: Claim) -> ClaimDecision:
    """Return what to do with a request that wants to write ``own``, given the ``stored`` claim."""
    if stored.fingerprint != own.fingerprint:
        return ClaimDecision.OTHER_REQUEST
    if stored.state == ClaimState.CLAIMED and stored.owner == own.owner:
        return ClaimDecision.RUN
    return DECISIONS_BY_STATE[ClaimState(stored.state)]


def row_key(organisation: str, idempotency_key: bytes) -> str:
    """Return the key of the row; equal idempotency keys of two organisations don't collide."""
    digest = hashlib.sha256(idempotency_key).hexdigest()
    return f"{ROW_PREFIX}/{organisation}/{digest}"


def fingerprint_request(method: str, target: bytes, body: bytes) -> str:
    """Return a hash of a request; each part is preceded by its length, so none can overlap."""
    digest = hashlib.sha256()
    for part in (method.encode(), target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def make_stored_response(
    status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> StoredResponse:
    """Convert a response to the form in which it is stored."""
    stored = tuple(StoredHeader(n.decode("latin-1"), v.decode("latin-1")) for n, v in headers)
    fits = len(body) <= MAX_STORED_BODY_BYTES
    return StoredResponse(status, stored, base64.b64encode(body).decode() if fits else None)


def dump_claim(claim: Claim) -> bytes:
    """Return the row's value."""
    return json.dumps(encode(claim), separators=(",", ":")).encode()


def load_claim(data: bytes) -> Claim:
    """Parse what :func:`dump_claim` wrote; raise :class:`InvalidDocumentError` if that fails."""
    try:
        claim = decode(Claim, json.loads(data))
        ClaimState(claim.state)
    except (RecordError, ValueError) as error:
        raise InvalidDocumentError(
            str(error), context="claim row", hint="upgrade this VM, or remove the row"
        ) from None
    return claim
