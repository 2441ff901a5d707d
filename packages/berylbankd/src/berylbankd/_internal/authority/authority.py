"""The authority of one VM: what it knows, and whether it may still act on that.

Pure: events and the time in, actions out. A VM acts only while its lease runs and while it has the
content of the newest head it has heard of. A lease counts from before the request that earned it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from berylbank._internal.models.configuration import Configuration
from berylbank._internal.models.head import Head
from berylbank._internal.wire.messages import ConfirmReply, ConfirmRequest
from berylbankd._internal.authority.timing import Timing


class ReadHead(NamedTuple):
    """Read the head row; ``started_ms`` comes back with the answer."""

    started_ms: int


class AskAll(NamedTuple):
    """Send ``message`` to every seated VM, or to every connected one while no head is known."""

    message: ConfirmRequest


Action = ReadHead | AskAll


class ConfirmRound(NamedTuple):
    """A running question to the seated VMs; ``warm`` tells whether the asker may count itself."""

    round_id: int
    number: int
    started_ms: int
    warm: bool
    confirmed_by: frozenset[str] = frozenset()


def is_majority(voters: frozenset[str], electorate: frozenset[str]) -> bool:
    """Tell whether ``voters`` hold a strict majority of ``electorate``."""
    return 2 * len(voters & electorate) > len(electorate)


class Authority:
    """Knowledge and lease of one VM.

    ``known`` is the number of the newest head heard of, ``warm`` whether this VM may vouch for
    others, ``lease_epoch`` rises each time a lease starts after a gap. ``round_ids`` never gives
    an id twice, not even to another start of this VM.
    """

    def __init__(self, vm: str, timing: Timing, now_ms: int, round_ids: Iterator[int]) -> None:
        self.vm = vm
        self.timing = timing
        self.started_ms = now_ms
        self.known = 0
        self.head: Head | None = None
        self.seated = False
        self.configuration = Configuration()
        self.warm = False
        self.lease_until_ms = 0
        self.lease_epoch = 0
        self.store_answered_ms: int | None = None
        self.row_missing = False
        self.round: ConfirmRound | None = None
        self.round_ids = round_ids
        self.next_renewal_ms = now_ms
        self.reading = False

    def may_act(self, now_ms: int) -> bool:
        """Tell whether this VM may act now on the configuration that it has."""
        return self.has_content() and now_ms < self.lease_until_ms and self.may_hold_lease()

    def has_content(self) -> bool:
        """Tell whether the newest head heard of is here with its content."""
        return self.head is not None and self.head.number == self.known

    def may_hold_lease(self) -> bool:
        """Tell whether this VM is seated, or every seat is taken."""
        return self.seated or (self.head is not None and self.head.all_seats_taken())

    def store_answers(self, now_ms: int) -> bool:
        """Tell whether the store has answered lately."""
        if self.store_answered_ms is None:
            return False
        return now_ms - self.store_answered_ms <= 2 * self.timing.renew_every_ms

    def tick(self, now_ms: int) -> list[Action]:
        """Renew what is due."""
        if now_ms < self.next_renewal_ms:
            return []
        self.next_renewal_ms = now_ms + self.timing.renew_every_ms
        actions: list[Action] = []
        if not self.reading:
            self.reading = True
            actions.append(ReadHead(now_ms))
        if not self.store_answers(now_ms):
            actions.extend(self._start_round(now_ms))
        return actions

    def on_read_failed(self, now_ms: int) -> list[Action]:
        """Take note that the store did not answer, and ask the other VMs at once."""
        self.reading = False
        return self._start_round(now_ms)

    def on_row_missing(self, now_ms: int) -> None:
        """Take note that the store answered and has no head row yet."""
        self.reading = False
        self.row_missing = True
        self.store_answered_ms = now_ms

    def on_read(
        self, started_ms: int, head: Head, configuration: Configuration | None, now_ms: int
    ) -> None:
        """Take in a strong read that began at ``started_ms``.

        ``configuration`` may be None where the head names the one that is already here.
        """
        self.reading = False
        self.row_missing = False
        if head.number < self.known:
            return
        self.store_answered_ms = now_ms
        self.hear_of(head.number)
        if configuration is None and not self._names_same_configuration(head):
            return
        self.apply(head, self.configuration if configuration is None else configuration)
        self.warm = True
        self._extend_lease(started_ms, now_ms)

    def hear_of(self, number: int) -> None:
        """Take note that head ``number`` is written."""
        self.known = max(self.known, number)

    def apply(self, head: Head, configuration: Configuration) -> bool:
        """Take over a head that is written; return False for one that is not newer."""
        self.hear_of(head.number)
        if self.head is not None and head.number <= self.head.number:
            return False
        self.head = head
        self.configuration = configuration
        self.seated = head.seat_of(self.vm) is not None
        return True

    def on_confirm_request(self, request: ConfirmRequest) -> ConfirmReply:
        """Answer whether this VM knows nothing newer than the asker."""
        self.hear_of(request.number)
        confirmed = self.warm and self.known == request.number
        return ConfirmReply(request.round_id, self.known, confirmed)

    def on_confirm_reply(self, sender: str, reply: ConfirmReply, now_ms: int) -> None:
        """Count an answer of the running round; a late one of an older round counts nothing."""
        self.hear_of(reply.known)
        current = self.round
        if current is None or reply.round_id != current.round_id:
            return
        if not reply.confirmed or self.known != current.number or not self.has_content():
            return
        voters = current.confirmed_by | {sender}
        self.round = current._replace(confirmed_by=voters)
        if current.warm:
            voters |= {self.vm}
        else:
            voters -= {self.vm}
        assert self.head is not None
        if is_majority(voters, self.head.seated_vms()):
            self.round = None
            self.warm = True
            self._extend_lease(current.started_ms, now_ms)

    def _start_round(self, now_ms: int) -> list[Action]:
        """Ask the seated VMs; a cold VM first lets its quarantine pass."""
        round_id = next(self.round_ids)
        request = ConfirmRequest(round_id, self.known if self.has_content() else 0)
        ready = self.warm or now_ms >= self.started_ms + self.timing.quarantine_ms
        if self.has_content() and ready:
            self.round = ConfirmRound(round_id, self.known, now_ms, self.warm)
        return [AskAll(request)]

    def _names_same_configuration(self, head: Head) -> bool:
        return self.head is not None and self.head.configuration_id == head.configuration_id

    def _extend_lease(self, started_ms: int, now_ms: int) -> None:
        until_ms = started_ms + self.timing.lease_ms
        if until_ms <= now_ms:
            return
        if now_ms >= self.lease_until_ms:
            self.lease_epoch += 1
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
