"""Lets the attempts of one request race, so that none is ended because another one was made.

A server that is silent causes a further attempt beside its own. Only a success, the end of every
attempt where no other can be made, the deadline, or the caller's leaving ends a request.
"""

import math

import anyio
from loguru import logger

from berylbankd._internal.ingress.attempts import (
    TEMPORARY_DENIALS,
    Attempt,
    AttemptFailure,
    BufferedResponse,
    OutgoingRequest,
    RetryDenial,
)
from berylbankd._internal.ingress.dispatch import Dispatcher, make_result_after_deadline
from berylbankd._internal.ingress.exchange import CallerDisconnectedError
from berylbankd._internal.ingress.request_log import SilenceRecord
from berylbankd._internal.refusals import Refusal
from berylbankd._internal.steering.picks import Pick
from berylbankd._internal.supervision import describe_error

# While all servers of a request are silent, and no other can get it, one is looked for again after
# this time, or after this share of the time for which they have been silent.
RETRY_CHECK_INTERVAL_S = 0.1
RETRY_CHECK_RATIO = 0.25


class AttemptRace:
    """The attempts of one request until one succeeds.

    Attempts are made in sequences: a failed one is followed by the next one at once. Silent servers
    start a further sequence; ``sequences`` counts those that have not ended. ``result`` is the
    response or refusal once it is known, and ``check_at_s`` when the servers' silence is checked
    next, in seconds of the event loop.
    """

    def __init__(self, dispatcher: Dispatcher, request: OutgoingRequest) -> None:
        self.dispatcher = dispatcher
        self.request = request
        self.attempts = request.attempts
        self.result: BufferedResponse | Refusal | None = None
        self.caller_left = False
        self.sequences = 0
        self.check_at_s = math.inf
        self.check_scope: anyio.CancelScope | None = None
        self.group = anyio.create_task_group()

    async def run(
        self, deadline_scopes: set[anyio.CancelScope]
    ) -> BufferedResponse | Refusal | None:
        """Return the response or the refusal for the caller, or None if the caller has left.

        ``deadline_scopes`` holds a scope meanwhile whose cancellation has the effect of the
        request's deadline.
        """
        scope = self.group.cancel_scope
        remaining_s = max(0, self.request.deadline_ms - self.dispatcher.clock.now_ms()) / 1000
        scope.deadline = anyio.current_time() + remaining_s
        deadline_scopes.add(scope)
        try:
            async with self.group:
                self.group.start_soon(self._watch)
                self.sequences = 1
                await self._attempt_in_sequence(None)
        finally:
            deadline_scopes.discard(scope)
            for attempt in self.attempts.started:
                self.dispatcher.server_exchange.record_end(attempt)
        if self.result is None:
            self.result = self._find_success()
        if self.result is None:
            for attempt in self.attempts.find_pending():
                self.dispatcher.server_exchange.record_unanswered(
                    self.request.pick_request, attempt
                )
            if not self.caller_left:
                self.result = make_result_after_deadline(self.attempts)
        if len(self.attempts.started) > 1:
            await self.dispatcher.drop_responses_except(self.attempts, self.result)
        return self.result

    # Attempts

    async def _attempt_in_sequence(self, attempt: Attempt | None) -> None:
        """Make attempts one after another until one succeeds or no further one is possible.

        ``attempt`` is the first one; without it the first server is chosen as well.
        """
        failed: Attempt | None = None
        while self.result is None:
            if attempt is None:
                choice = self._choose_server(failed)
                if isinstance(choice, RetryDenial):
                    break
                attempt = self.dispatcher.make_attempt(self.request, choice)
            if len(self.attempts.started) > 1:
                await self.dispatcher.drop_long_server_errors(self.attempts)
            try:
                await self.dispatcher.server_exchange.run(
                    self.request, attempt, self._schedule_check
                )
            except CallerDisconnectedError:
                self.caller_left = True
                self.group.cancel_scope.cancel()
                return
            except Exception as error:  # a fault must not end the attempts at other servers
                attempt.failure = AttemptFailure.BROKEN
                self._report_fault(error)
            if attempt.succeeded:
                self.result = self.result or attempt.response
                self.group.cancel_scope.cancel()
                return
            self.attempts.last_failure = attempt.failure
            failed, attempt = attempt, None
        self._end_sequence()

    def _choose_server(self, failed: Attempt | None) -> Pick | RetryDenial:
        """Choose the server of the next attempt; a fault must not end the attempts that run."""
        try:
            return self.dispatcher.choose_server(self.request, failed)
        except Exception as error:
            self._report_fault(error)
            return RetryDenial.FAULT

    def _report_fault(self, error: Exception) -> None:
        """Log and count an unexpected error, or raise it if nothing else can answer the caller."""
        if not self.attempts.find_pending():
            raise error
        self.dispatcher.request_log.count_fault()
        logger.bind(request_id=self.request.request_id).error(
            "an attempt of the request is given up because of a fault of this VM, others go on: {}",
            describe_error(error),
        )

    def _end_sequence(self) -> None:
        self.sequences -= 1
        if self.sequences:
            # If the other servers are silent, room at a further one is looked for again.
            self._check_at(anyio.current_time() + RETRY_CHECK_INTERVAL_S)
            return
        if self.result is None:
            self.result = self.dispatcher.make_final_result(self.request)
        self.group.cancel_scope.cancel()

    def _find_success(self) -> BufferedResponse | None:
        """Return the response of an attempt that succeeded as the deadline passed."""
        for attempt in self.attempts.started:
            if attempt.succeeded:
                return attempt.response
        return None

    # Silence

    async def _watch(self) -> None:
        """Make another attempt when all servers are silent; end the race if the caller leaves."""
        while True:
            with anyio.CancelScope(deadline=self.check_at_s) as self.check_scope:
                await self.request.exchange.wait_for_disconnect()
                self.caller_left = True
                self.group.cancel_scope.cancel()
                return
            self.check_at_s = math.inf
            await self._check_silence(anyio.current_time())

    def _schedule_check(self, attempt: Attempt) -> None:
        """Check an attempt when its server counts as silent."""
        self._check_at(attempt.retry_at_s())

    def _check_at(self, time_s: float) -> None:
        if time_s >= self.check_at_s:
            return
        self.check_at_s = time_s
        if self.check_scope is not None:
            self.check_scope.deadline = time_s

    async def _check_silence(self, now_s: float) -> None:
        """Make another attempt if all servers are silent, and schedule the next check."""
        pending = self.attempts.find_pending()
        silent = [attempt for attempt in pending if attempt.retry_at_s() <= now_s]
        for attempt in pending:
            if attempt not in silent:
                self._schedule_check(attempt)
        if not silent:
            return
        next_step = "another server has it"
        is_affordable = True
        if len(silent) == len(pending):
            choice = self._choose_server(None)
            if isinstance(choice, RetryDenial):
                next_step = choice.value
                is_affordable = choice is not RetryDenial.NO_CREDIT
                if choice in TEMPORARY_DENIALS:
                    silent_s = now_s - max(attempt.progress_s for attempt in silent)
                    interval_s = max(RETRY_CHECK_INTERVAL_S, silent_s * RETRY_CHECK_RATIO)
                    self._check_at(now_s + interval_s)
            else:
                next_step = "sent to another server"
                self.sequences += 1
                next_attempt = self.dispatcher.make_attempt(self.request, choice)
                self.group.start_soon(self._attempt_in_sequence, next_attempt)
        for attempt in silent:
            if not attempt.silence_logged:
                attempt.silence_logged = True
                self._log_silence(attempt, next_step)
            # A slow server is no reason to avoid it while its requests can't be retried.
            if is_affordable:
                await self._record_silence(attempt)

    async def _record_silence(self, attempt: Attempt) -> None:
        if not attempt.silence_recorded:
            self.attempts.last_failure = AttemptFailure.HUNG
            await self.dispatcher.server_exchange.record_silence(self.request.pick_request, attempt)

    def _log_silence(self, attempt: Attempt, next_step: str) -> None:
        self.dispatcher.request_log.record_silence(
            SilenceRecord(
                self.request.request_id,
                self.request.pick_request.route.name,
                attempt.pick.server.registration.id,
                int((anyio.current_time() - attempt.progress_s) * 1000),
                self.request.deadline_ms - self.dispatcher.clock.now_ms(),
                next_step,
            )
        )
