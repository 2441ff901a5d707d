"""The row of one idempotency key, and what another request with that key is told."""

import base64
import hashlib
import json
from enum import StrEnum
from typing import NamedTuple

from berylbank._internal.exceptions import InvalidDocumentError
from berylbank._internal.utils.records import RecordError, decode, encode

ROW_PREFIX = "claim"
MAX_KEY_BYTES = 255
MAX_ANSWER_BYTES = 65_536


class ClaimState(StrEnum):
    """How far the first request with a key has come.

    ``CLAIMED``: it may be running, or its VM died. ``DONE``: it was answered. ``UNKNOWN``: it was
    sent and its end is not known. ``RELEASED``: it surely did not run.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class StoredHeader(NamedTuple):
    """One header of a stored answer."""

    name: str
    value: str


class StoredAnswer(NamedTuple):
    """The first answer; ``body`` is base64, or None for one too large to keep."""

    status: int
    headers: tuple[StoredHeader, ...]
    body: str | None


class Claim(NamedTuple):
    """The row: ``fingerprint`` is of the request, ``owner`` a random name of its only sender."""

    state: str
    fingerprint: str
    owner: str
    answer: StoredAnswer | None = None


class Verdict(StrEnum):
    """What to do with a request whose key has a row."""

    RUN = "run"
    OTHER_REQUEST = "other_request"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REPLAY = "replay"


VERDICTS = {
    ClaimState.CLAIMED: Verdict.IN_PROGRESS,
    ClaimState.DONE: Verdict.REPLAY,
    ClaimState.UNKNOWN: Verdict.OUTCOME_UNKNOWN,
    ClaimState.RELEASED: Verdict.RUN,
}


def judge(row: Claim, mine: Claim) -> Verdict:
    """Return what a request may do, given the row that its key has."""
    if row.fingerprint != mine.fingerprint:
        return Verdict.OTHER_REQUEST
    if row.state == ClaimState.CLAIMED and row.owner == mine.owner:
        return Verdict.RUN
    return VERDICTS[ClaimState(row.state)]


def row_key(organisation: str, idempotency_key: bytes) -> str:
    """Return the name of the row; keys of two organisations never meet."""
    digest = hashlib.sha256(idempotency_key).hexdigest()
    return f"{ROW_PREFIX}/{organisation}/{digest}"


def fingerprint(method: str, target: bytes, body: bytes) -> str:
    """Return a hash that tells two different requests apart."""
    digest = hashlib.sha256()
    for part in (method.encode(), target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def store_answer(status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> StoredAnswer:
    """Return an answer in the form that is kept."""
    kept = tuple(StoredHeader(n.decode("latin-1"), v.decode("latin-1")) for n, v in headers)
    fits = len(body) <= MAX_ANSWER_BYTES
    return StoredAnswer(status, kept, base64.b64encode(body).decode() if fits else None)


def dump_claim(claim: Claim) -> bytes:
    """Return the row's value."""
    return json.dumps(encode(claim), separators=(",", ":")).encode()


def load_claim(data: bytes) -> Claim:
    """Read what :func:`dump_claim` wrote; raise :class:`InvalidDocumentError`."""
    try:
        claim = decode(Claim, json.loads(data))
        ClaimState(claim.state)
    except (RecordError, ValueError) as error:
        raise InvalidDocumentError(
            str(error), context="claim row", hint="upgrade this VM, or remove the row"
        ) from None
    return claim
