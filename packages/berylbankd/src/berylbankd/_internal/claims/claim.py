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
    outcome is not known. ``RELEASED``: it certainly did not run, so the key may be claimed again.
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
    which wrote the claim knows. ``answer`` is the response, once the request has one.
    """

    state: str
    fingerprint: str
    owner: str
    answer: StoredResponse | None = None


class ClaimDecision(StrEnum):
    """What to do with a request whose key has a claim already.

    ``RUN``: write the own claim and run it. ``OTHER_REQUEST``: refuse it, as the claim belongs to
    a request with another fingerprint. ``IN_PROGRESS`` and ``OUTCOME_UNKNOWN``: report that.
    ``REPLAY``: return the stored response.
    """

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


def decide_claim(stored: Claim, own: Claim) -> ClaimDecision:
    """Return what to do with a request that wants to write ``own``, given the ``stored`` claim.

    A stored claim of the same owner is this request's own earlier write, so the request may run.
    """
    if stored.fingerprint != own.fingerprint:
        return ClaimDecision.OTHER_REQUEST
    if stored.state == ClaimState.CLAIMED and stored.owner == own.owner:
        return ClaimDecision.RUN
    return DECISIONS_BY_STATE[ClaimState(stored.state)]


def make_row_key(organisation: str, idempotency_key: bytes) -> str:
    """Return the key of a claim's row; equal idempotency keys of two organisations don't collide.

    The idempotency key is hashed, so the row key has a fixed length and no unsafe characters.
    """
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
    """Convert a response to its stored form; a body above ``MAX_STORED_BODY_BYTES`` is left out."""
    stored_headers = tuple(
        StoredHeader(name.decode("latin-1"), value.decode("latin-1")) for name, value in headers
    )
    fits = len(body) <= MAX_STORED_BODY_BYTES
    return StoredResponse(status, stored_headers, base64.b64encode(body).decode() if fits else None)


def dump_claim(claim: Claim) -> bytes:
    """Return the value of the row that stores ``claim``."""
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
