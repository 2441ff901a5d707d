"""The lease of one VM, and the head and configuration that it may act on.

Does no I/O: methods take events and the time, and return actions. A VM acts only while its lease
is valid and while it has the content of the newest head that it has heard of. The term of a lease
starts when the request that earned it was sent, not when the answer arrived.
"""

from collections.abc import Iterator
from typing import NamedTuple

from berylbank._internal.models.configuration import Configuration
from berylbank._internal.models.head import Head
from berylbank._internal.wire.messages import ConfirmReply, ConfirmRequest
from berylbankd._internal.coordination.timing import Timing


class ReadHead(NamedTuple):
    """Read the head row; ``started_ms`` is passed back to :meth:`LeaseState.on_head_read`."""

    started_ms: int


class AskVoters(NamedTuple):
    """Send ``message`` to every seated VM; to every VM with a link while no head is known."""

    message: ConfirmRequest


Action = ReadHead | AskVoters


class ConfirmRound(NamedTuple):
    """A running vote of the seated VMs on this VM's lease.

    ``head_number`` is the head that they confirm as the newest, ``started_ms`` when the request
    was sent, from which the term of the lease counts. ``counts_self`` tells whether this VM may
    count its own vote.
    """

    round_id: int
    head_number: int
    started_ms: int
    counts_self: bool
    confirmed_by: frozenset[str] = frozenset()


def is_majority(voters: frozenset[str], electorate: frozenset[str]) -> bool:
    """Tell whether ``voters`` include a strict majority of ``electorate``."""
    return 2 * len(voters & electorate) > len(electorate)


class LeaseState:
    """Head, configuration and lease of one VM.

    ``latest_head_number`` is the number of the newest head heard of; ``head`` may be older or
    None. ``may_confirm`` tells whether this VM may confirm leases of others, which it may after an
    answer of the store or of a majority since its start. ``lease_epoch`` rises each time a lease
    starts after the one before has expired. ``round_ids`` never repeats an id, not even after a
    restart of this VM.
    """

    def __init__(self, vm: str, timing: Timing, now_ms: int, round_ids: Iterator[int]) -> None:
        self.vm = vm
        self.timing = timing
        self.started_ms = now_ms
        self.latest_head_number = 0
        self.head: Head | None = None
        self.seated = False
        self.configuration = Configuration()
        self.may_confirm = False
        self.lease_until_ms = 0
        self.lease_epoch = 0
        self.last_store_answer_ms: int | None = None
        self.head_row_missing = False
        self.confirm_round: ConfirmRound | None = None
        self.round_ids = round_ids
        self.next_renewal_ms = now_ms
        self.read_in_progress = False

    def may_act(self, now_ms: int) -> bool:
        """Tell whether this VM may act now on its configuration."""
        return self.has_latest_head() and now_ms < self.lease_until_ms and self.may_hold_lease()

    def has_latest_head(self) -> bool:
        """Tell whether this VM has the content of the newest head that it has heard of."""
        return self.head is not None and self.head.number == self.latest_head_number

    def may_hold_lease(self) -> bool:
        """Tell whether this VM is seated, or may work unseated because every seat is taken."""
        return self.seated or (self.head is not None and self.head.all_seats_taken())

    def store_answered_recently(self, now_ms: int) -> bool:
        """Tell whether the store has answered within the last two renewal intervals."""
        if self.last_store_answer_ms is None:
            return False
        return now_ms - self.last_store_answer_ms <= 2 * self.timing.renew_every_ms

    def tick(self, now_ms: int) -> list[Action]:
        """Renew the lease when due: by reading the head row, else by a vote of the seated VMs."""
        if now_ms < self.next_renewal_ms:
            return []
        self.next_renewal_ms = now_ms + self.timing.renew_every_ms
        actions: list[Action] = []
        if not self.read_in_progress:
            self.read_in_progress = True
            actions.append(ReadHead(now_ms))
        if not self.store_answered_recently(now_ms):
            actions.extend(self._start_round(now_ms))
        return actions

    def on_head_read_failed(self, now_ms: int) -> list[Action]:
        """Ask the other VMs to confirm the lease, as the store did not answer."""
        self.read_in_progress = False
        return self._start_round(now_ms)

    def on_head_row_missing(self, now_ms: int) -> None:
        """Record that the store answered and has no head row yet."""
        self.read_in_progress = False
        self.head_row_missing = True
        self.last_store_answer_ms = now_ms

    def on_head_read(
        self, started_ms: int, head: Head, configuration: Configuration | None, now_ms: int
    ) -> None:
        """Apply the result of a strongly consistent read that began at ``started_ms``.

        ``configuration`` may be None if the head names the configuration that this VM has.
        """
        self.read_in_progress = False
        self.head_row_missing = False
        if head.number < self.latest_head_number:
            return
        self.last_store_answer_ms = now_ms
        self.observe_head_number(head.number)
        if configuration is None and not self._has_configuration_of(head):
            return
        self.apply_head(head, self.configuration if configuration is None else configuration)
        self.may_confirm = True
        self._extend_lease(started_ms, now_ms)

    def observe_head_number(self, head_number: int) -> None:
        """Record that head ``head_number`` has been written."""
        self.latest_head_number = max(self.latest_head_number, head_number)

    def apply_head(self, head: Head, configuration: Configuration) -> bool:
        """Replace the head by a written one; return False if that is not newer."""
        self.observe_head_number(head.number)
        if self.head is not None and head.number <= self.head.number:
            return False
        self.head = head
        self.configuration = configuration
        self.seated = head.seat_of(self.vm) is not None
        return True

    def on_confirm_request(self, request: ConfirmRequest) -> ConfirmReply:
        """Confirm the lease of the sender if its head is the newest that this VM has heard of."""
        self.observe_head_number(request.number)
        confirmed = self.may_confirm and self.latest_head_number == request.number
        return ConfirmReply(request.round_id, self.latest_head_number, confirmed)

    def on_confirm_reply(self, sender: str, reply: ConfirmReply, now_ms: int) -> None:
        """Count a vote of the running round; extend the lease once a majority has confirmed it.

        Late replies to older rounds are ignored.
        """
        self.observe_head_number(reply.known)
        current = self.confirm_round
        if current is None or reply.round_id != current.round_id:
            return
        if (
            not reply.confirmed
            or self.latest_head_number != current.head_number
            or not self.has_latest_head()
        ):
            return
        voters = current.confirmed_by | {sender}
        self.confirm_round = current._replace(confirmed_by=voters)
        if current.counts_self:
            voters |= {self.vm}
        else:
            voters -= {self.vm}
        assert self.head is not None
        if is_majority(voters, self.head.seated_vms()):
            self.confirm_round = None
            self.may_confirm = True
            self._extend_lease(current.started_ms, now_ms)

    def _start_round(self, now_ms: int) -> list[Action]:
        """Ask the seated VMs to confirm the lease.

        Replies are counted only if this VM has the newest head. Before ``may_confirm`` is set,
        they are also counted only once ``startup_wait_ms`` has passed.
        """
        round_id = next(self.round_ids)
        request = ConfirmRequest(round_id, self.latest_head_number if self.has_latest_head() else 0)
        may_count_votes = (
            self.may_confirm or now_ms >= self.started_ms + self.timing.startup_wait_ms
        )
        if self.has_latest_head() and may_count_votes:
            self.confirm_round = ConfirmRound(
                round_id, self.latest_head_number, now_ms, self.may_confirm
            )
        return [AskVoters(request)]

    def _has_configuration_of(self, head: Head) -> bool:
        return self.head is not None and self.head.configuration_id == head.configuration_id

    def _extend_lease(self, started_ms: int, now_ms: int) -> None:
        """Extend the lease to ``lease_ms`` after ``started_ms``, unless that is over already."""
        until_ms = started_ms + self.timing.lease_ms
        if until_ms <= now_ms:
            return
        if now_ms >= self.lease_until_ms:
            self.lease_epoch += 1
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
