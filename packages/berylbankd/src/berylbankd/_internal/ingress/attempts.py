"""The attempts of one request: to which backend servers it was sent, and what came of each."""

import math
from enum import Enum, StrEnum
from typing import NamedTuple

from berylbankd._internal.backends.connection import BackendConnection
from berylbankd._internal.ingress.codec import HeaderList
from berylbankd._internal.ingress.exchange import CallerExchange
from berylbankd._internal.steering.picks import Pick, PickRequest


class AttemptFailure(Enum):
    """How an attempt failed; it determines whether the request may be retried."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    MISDIRECTED = "other server"
    BROKEN = "broken"
    HUNG = "hung"
    SERVER_ERROR = "server error"


FAILURES_WITHOUT_RUN = frozenset(
    {AttemptFailure.NOT_SENT, AttemptFailure.NOT_RUN, AttemptFailure.MISDIRECTED}
)


class RetryDenial(StrEnum):
    """Why a request is not sent to another server; the values appear in the log."""

    KEY_WITHDRAWN = "key withdrawn"
    ATTEMPTS_USED = "no attempt left"
    MAY_HAVE_RUN = "it may have run"
    BODY_NOT_KEPT = "body not kept"
    NO_TIME = "no time"
    NO_CREDIT = "no retry credit"
    NO_SERVER = "no server"
    FAULT = "fault of this VM"


# These may end while the request waits for a silent server.
TEMPORARY_DENIALS = frozenset({RetryDenial.NO_CREDIT, RetryDenial.NO_SERVER})


class BufferedResponse(NamedTuple):
    """A response and the buffered part of its body.

    ``remainder`` is the connection from which the rest of the body is still to be received, None
    if ``body`` is complete.
    """

    status: int
    headers: HeaderList
    body: bytes
    remainder: BackendConnection | None = None


class Attempt:
    """One attempt of a request, at one backend server.

    ``response`` and ``failure`` are set when it has ended; a server error has both.
    ``progress_s`` is when the request was sent or the last part of the response arrived, in seconds
    of the event loop. The server counts as silent ``silence_s`` after that, and another attempt is
    made then if ``retried_on_silence`` is set. ``silence_logged`` is set once it did, and
    ``silence_recorded`` once that is on the server's record. A ``doubtful`` attempt has got a
    response that may be a refusal of its request or of an earlier one, and counts as silent.
    ``may_have_run`` is set while it is possible that the server ran the request.
    ``buffered_bytes`` is the size of the response that is kept in memory. ``ended`` is set once its
    server no longer counts it as running.
    """

    def __init__(self, pick: Pick, silence_s: float, *, retried_on_silence: bool) -> None:
        self.pick = pick
        self.silence_s = silence_s
        self.retried_on_silence = retried_on_silence
        self.progress_s = math.inf
        self.silence_logged = False
        self.silence_recorded = False
        self.doubtful = False
        self.may_have_run = False
        self.response: BufferedResponse | None = None
        self.failure: AttemptFailure | None = None
        self.buffered_bytes = 0
        self.ended = False

    @property
    def pending(self) -> bool:
        """Tell whether the attempt has neither a response nor a failure yet."""
        return self.response is None and self.failure is None

    @property
    def succeeded(self) -> bool:
        """Tell whether the attempt has a response that is no server error."""
        return self.response is not None and self.failure is None

    @property
    def has_remainder(self) -> bool:
        """Tell whether the rest of a long response is still to be received."""
        return self.response is not None and self.response.remainder is not None

    def retry_at_s(self) -> float:
        """Return when another attempt is due if no part of a response arrives until then."""
        if self.doubtful:
            return self.progress_s
        return self.progress_s + self.silence_s if self.retried_on_silence else math.inf


class RequestAttempts:
    """The attempts of one request, in the order of their start.

    ``server_entries`` holds the request log's entries of the servers that the request was sent to.
    ``last_failure`` is the latest failure, which includes silence.
    """

    def __init__(self) -> None:
        self.started: list[Attempt] = []
        self.server_entries: list[str] = []
        self.last_failure: AttemptFailure | None = None

    @property
    def tried_server_ids(self) -> frozenset[str]:
        """The servers that aren't tried again."""
        return frozenset(attempt.pick.server.registration.id for attempt in self.started)

    @property
    def may_have_run(self) -> bool:
        """Tell whether a server may have run the request, or may be running it."""
        return any(attempt.may_have_run for attempt in self.started)

    @property
    def server_error_response(self) -> BufferedResponse | None:
        """The last server error, which the caller gets if no attempt succeeds."""
        for attempt in reversed(self.started):
            if attempt.failure is AttemptFailure.SERVER_ERROR and attempt.response is not None:
                return attempt.response
        return None

    def find_pending(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.started if attempt.pending]


class OutgoingRequest(NamedTuple):
    """An admitted request on its way to backend servers.

    ``deadline_ms`` is when its caller gets an answer at the latest, and ``server_deadline_ms`` what
    servers are told, so that theirs comes first; both are times of the clock.
    """

    exchange: CallerExchange
    pick_request: PickRequest
    deadline_ms: int
    server_deadline_ms: int
    attempts: RequestAttempts

    @property
    def request_id(self) -> str:
        """The id that the caller gave the request."""
        return self.exchange.metadata.request_id.decode("latin-1")
