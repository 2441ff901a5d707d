"""The attempts of a request at backend servers, and the budget that limits them."""

from typing import NamedTuple

import anyio

from berylbankd._internal.backends.connection import BackendConnection, ResponseHead
from berylbankd._internal.backends.slots import SlotPool
from berylbankd._internal.entry.silence_log import ServerSilence
from berylbankd._internal.refusals import Ran, Refusal

# Each retry costs 1 credit.
RETRY_CREDIT_PER_REQUEST = 0.1
MAX_RETRY_CREDIT = 20.0
MIN_SERVER_ERROR_STATUS = 500
# Callers may repeat a request that is refused with this status.
NOT_RUN_STATUS = 503


class Attempt:
    """An attempt at a backend server, which holds a slot and, once connected, a connection.

    ``head`` is set once the server has responded, and ``reusable`` if the connection may carry
    another request. ``chunks`` holds what was received of the body before the response was chosen,
    and ``buffered`` is set if that is the whole body, or as much as may be held back.
    """

    def __init__(self, slot_pool: SlotPool) -> None:
        self.slot_pool = slot_pool
        self.connection: BackendConnection | None = None
        self.started_ms = 0
        self.head: ResponseHead | None = None
        self.chunks: list[bytes] = []
        self.buffered = False
        self.reusable = False

    @property
    def succeeded(self) -> bool:
        """Tell whether the server has responded, other than with an error of its own."""
        return self.head is not None and self.head.status < MIN_SERVER_ERROR_STATUS


class AttemptOutcome(NamedTuple):
    """How an attempt ended: with a response, which ``attempt`` holds, or refused.

    ``retryable`` is set if the request may be sent again.
    """

    refusal: Refusal | None = None
    retryable: bool = False
    attempt: Attempt | None = None

    def merge_earlier(self, earlier: Refusal | None) -> Refusal | None:
        """Return this attempt's refusal, merged with the refusal of the earlier attempts.

        If the request may have run in an earlier attempt, the merged refusal states so, and has no
        status that promises the contrary.
        """
        if self.refusal is None or earlier is None or earlier.ran is Ran.NO:
            return self.refusal
        if self.refusal.template.status == NOT_RUN_STATUS:
            return earlier
        return self.refusal._replace(ran=earlier.ran)


class RequestAttempts:
    """The attempts of one request.

    ``running`` holds those whose slot or connection is in use, and ``refusal`` is that of the last
    one that failed. ``deadline_ms`` is when the service's timeout expires; it counts from the first
    attempt in which the request may have run. ``silence`` is to be logged with the next attempt.
    ``race`` is set once the request's server was silent for too long.
    """

    def __init__(self) -> None:
        self.made = 0
        self.tried_backends: frozenset[str] = frozenset()
        self.running: list[Attempt] = []
        self.refusal: Refusal | None = None
        self.deadline_ms: int | None = None
        self.silence: ServerSilence | None = None
        self.race: Race | None = None

    def record_failure(self, outcome: AttemptOutcome, backend_name: str) -> None:
        """Record how an attempt failed that no longer runs."""
        self.tried_backends |= {backend_name}
        self.refusal = outcome.merge_earlier(self.refusal)
        if not self.running and self.refusal is not None and self.refusal.ran is Ran.NO:
            self.deadline_ms = None


class Race:
    """The attempt at a silent server, ``first``, and the further ones that are made beside it.

    ``cancel_scope`` encloses all of them. ``responses`` holds the attempts whose response has
    begun and has not broken off, in order. ``first_failure`` is set if the silent server failed,
    and ``others_ended`` once no further attempt follows.
    """

    def __init__(
        self, first: Attempt, connection: BackendConnection, cancel_scope: anyio.CancelScope
    ) -> None:
        self.first = first
        self.connection = connection
        self.cancel_scope = cancel_scope
        self.responses: list[Attempt] = []
        self.first_failure: AttemptOutcome | None = None
        self.others_ended = False

    def choose_response(self) -> Attempt | None:
        """Return the best response: a success, if possible one that is buffered."""
        return max(
            self.responses,
            key=lambda attempt: (attempt.succeeded, attempt.buffered),
            default=None,
        )


class RetryBudget:
    """Limits retries to a fraction of the requests, so that they don't amplify an overload."""

    def __init__(self) -> None:
        self.credit = MAX_RETRY_CREDIT

    def record_request(self) -> None:
        """Add the retry credit of one request."""
        self.credit = min(MAX_RETRY_CREDIT, self.credit + RETRY_CREDIT_PER_REQUEST)

    def take_retry(self) -> bool:
        """Spend credit for one retry; return False if there is too little."""
        if self.credit < 1:
            return False
        self.credit -= 1
        return True
