"""The window of tickets of one incarnation of a node."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Answered, Refused, Unknown
from fuchsiagap.core.tickets.records import (
    Burnt,
    Claim,
    Forgotten,
    InProgress,
    KeptOutcome,
    NotIssued,
    RequestMismatch,
    RunKey,
    RunRecord,
    Settled,
    Start,
    Successor,
    WindowFrozen,
    run_key,
)
from fuchsiagap.core.tickets.sparse_bitmap import PAGE_BITS, SparseBitmap
from fuchsiagap.core.tickets.ticket import Life, Ticket

if TYPE_CHECKING:
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.tickets.settings import TicketSettings

# What a kept outcome takes besides its body and headers, measured by
# `fuchsiagap_standins.bench tickets`.
_RECORD_BYTES = 500


class TicketWindow:
    """Which tickets of one incarnation were used, and what became of them.

    A ticket is unused, started, done with a kept outcome, burnt, or forgotten.
    Unused tickets take no memory, used ones a bit, recent ones a record.

    Parameters
    ----------
    cfg : TicketSettings
        The bounds.
    node : str
        The issuing node.
    incarnation : int
        The life of the issuing node.
    clock : Clock
        The clock of this process.

    Attributes
    ----------
    low, next : int
        Tickets from `low` and below `next` are in the window.
    frozen : bool
        Nothing starts here any more, since the window is handed over.
    hand_over_ended : trio.Event
        Set when the hand-over has ended, whether it succeeded or not.
    handed_to : Successor or None
        Who answers for the tickets now.
    may_be_handed_over : bool
        Whether somebody may answer for them: the last message was sent.
    frozen_records : tuple of RunRecord
        All runs known when the window was frozen. They are handed over whatever
        happens to them meanwhile.
    frozen_runs : tuple of RunRecord
        Those that were in progress then; their outcomes follow.
    """

    def __init__(
        self, cfg: TicketSettings, node: str, incarnation: int, clock: Clock
    ) -> None:
        self.cfg = cfg
        self.node = node
        self.incarnation = incarnation
        self.clock = clock
        self.low = 0
        self.next = 0
        self.life = Life(node, incarnation)
        self.frozen = False
        self.hand_over_ended = trio.Event()
        self.handed_to: Successor | None = None
        self.may_be_handed_over = False
        self.frozen_records: tuple[RunRecord, ...] = ()
        self.frozen_runs: tuple[RunRecord, ...] = ()
        self.used = SparseBitmap()
        self.burnt = SparseBitmap()
        # Roots below which a child was started, and those where no more may be.
        self.parents = SparseBitmap()
        self.sealed = SparseBitmap()
        self.records: dict[RunKey, RunRecord] = {}
        self.kept_bytes = 0
        # Ordered, since the first key of a dict is slow to find behind deleted ones.
        self.kept_sizes: OrderedDict[RunKey, int] = OrderedDict()
        self._page_times: deque[Milliseconds] = deque()

    # -- issuing ---------------------------------------------------------------

    def issue(self, count: int) -> tuple[Ticket, ...] | NotIssued:
        """Hand out tickets.

        Parameters
        ----------
        count : int
            How many; at least one and at most `TicketSettings.max_batch` are given.

        Returns
        -------
        tuple of Ticket or NotIssued
            The tickets, or when to come back.
        """
        count = min(max(count, 1), self.cfg.max_batch)
        wait = self._make_room(self.next + count)
        if wait > 0:
            return NotIssued(wait)
        first = self.next
        self.next += count
        self._note_pages()
        node, incarnation = self.node, self.incarnation
        return tuple(Ticket(node, incarnation, n) for n in range(first, self.next))

    def _make_room(self, end: int) -> Milliseconds:
        while end - self.low > self.cfg.window:
            age = self.clock.now() - self._page_times[0]
            if age < self.cfg.min_age:
                return self.cfg.min_age - age
            self._raise_low()
        return 0.0

    def _raise_low(self) -> None:
        self._page_times.popleft()
        self.low = (self.low // PAGE_BITS + 1) * PAGE_BITS
        for marks in (self.used, self.burnt, self.parents, self.sealed):
            marks.drop_below(self.low)

    def _note_pages(self) -> None:
        """Set the time of the newest page, and of those begun since."""
        now = self.clock.now()
        if self._page_times:
            self._page_times[-1] = now
        n_pages = (self.next - 1) // PAGE_BITS - self.low // PAGE_BITS + 1
        while len(self._page_times) < n_pages:
            self._page_times.append(now)

    # -- starting and ending ---------------------------------------------------

    def claim(self, sequence: int, child_key: str, fingerprint: bytes) -> Claim:
        """Decide what a copy of a request may do.

        Parameters
        ----------
        sequence : int
            Sequence of the root's ticket.
        child_key : str
            Key of the child call under its root; empty for the root call.
        fingerprint : bytes
            Digest of the request.

        Returns
        -------
        Claim
            `Start` at most once for each key, unless `finish` was told `Refused`.
        """
        key = run_key(sequence, child_key)
        record = self.records.get(key)
        if record is not None:
            return self._repeat(record, fingerprint)
        denied = self._denied(sequence, child_key)
        if denied is not None:
            return denied
        if self.frozen:
            return WindowFrozen()
        record = RunRecord(key, fingerprint)
        self.records[key] = record
        (self.parents if child_key else self.used).add(sequence)
        return Start(record)

    def _repeat(self, record: RunRecord, fingerprint: bytes) -> Claim:
        if record.fingerprint != fingerprint:
            return RequestMismatch()
        if record.outcome is None:
            return InProgress(record)
        return KeptOutcome(record.outcome)

    def _denied(self, sequence: int, child_key: str) -> Burnt | Forgotten | None:
        if not self.low <= sequence < self.next:
            return Forgotten("the ticket is out of the window")
        if sequence in self.burnt:
            return Burnt()
        if sequence in (self.sealed if child_key else self.used):
            return Forgotten("the outcome is no longer kept")
        return None

    def finish(self, record: RunRecord, outcome: Outcome) -> None:
        """Note the outcome of a run that `claim` let start.

        Parameters
        ----------
        record : RunRecord
            From `Start`.
        outcome : Outcome
            `Refused` opens the ticket again, or burns it if that was asked for.
        """
        record.final_outcome = outcome
        if isinstance(outcome, Refused):
            self._undo_start(record)
        else:
            record.outcome = outcome
            self._keep(record, outcome)
        if record.ended is not None:
            record.ended.set()
            record.ended = None

    def _undo_start(self, record: RunRecord) -> None:
        del self.records[record.key]
        if not isinstance(record.key, int) or record.key < self.low:
            return
        if record.burn:
            self.burnt.add(record.key)
        else:
            self.used.discard(record.key)

    def _keep(self, record: RunRecord, outcome: Answered | Unknown) -> None:
        size = _RECORD_BYTES
        if isinstance(outcome, Answered):
            if len(outcome.body) > self.cfg.max_kept_body:
                self._forget(record.key)
                return
            size += len(outcome.body)
            size += sum(len(name) + len(value) for name, value in outcome.headers)
        self.kept_sizes[record.key] = size
        self.kept_bytes += size
        self.shrink(self.cfg.kept_bytes)

    def shrink(self, kept_bytes: int) -> None:
        """Forget the oldest outcomes until at most so many bytes are kept."""
        sizes = self.kept_sizes
        while self.kept_bytes > kept_bytes or len(sizes) > self.cfg.kept_answers:
            oldest, size = sizes.popitem(last=False)
            self.kept_bytes -= size
            self._forget(oldest)

    def _forget(self, key: RunKey) -> None:
        del self.records[key]
        if not isinstance(key, int) and key[0] >= self.low:
            self.sealed.add(key[0])

    def freeze(self) -> None:
        """Start nothing here any more; for good, since a hand-over begins."""
        if not self.frozen:
            self.frozen = True
            self.frozen_records = tuple(self.records.values())
            self.frozen_runs = tuple(
                record for record in self.frozen_records if record.outcome is None
            )
        if self.hand_over_ended.is_set() and self.handed_to is None:
            self.hand_over_ended = trio.Event()

    # -- asking ----------------------------------------------------------------

    def settle(self, sequence: int) -> Settled:
        """Tell the state of a root's ticket; burn it first if it was not started.

        Parameters
        ----------
        sequence : int
            Sequence of the ticket.

        Returns
        -------
        InProgress or KeptOutcome or Burnt or Forgotten or WindowFrozen
            `Burnt` only if the request was not run and never will be.
        """
        record = self.records.get(sequence)
        if record is not None:
            if record.outcome is not None:
                return KeptOutcome(record.outcome)
            record.burn = True
            return InProgress(record)
        denied = self._denied(sequence, "")
        if denied is not None:
            return denied
        if self.frozen:
            return WindowFrozen()
        self.used.add(sequence)
        self.sealed.add(sequence)
        if sequence in self.parents:
            return Forgotten("the root was not started here, but a child call was")
        self.burnt.add(sequence)
        return Burnt()
