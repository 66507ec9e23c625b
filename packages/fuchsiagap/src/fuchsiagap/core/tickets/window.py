"""State of the most recently issued tickets of one incarnation of a node."""

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

# Bytes of memory that a kept outcome takes besides its body and headers.
_RECORD_BYTES = 500


class TicketWindow:
    """Tracks the used tickets of one incarnation and the outcomes of their runs.

    A ticket is unused, started, finished with a kept outcome, burnt (revoked), or
    forgotten (its outcome is no longer kept, or it is below the window). Unused tickets
    take no memory, used ones one bit, and recently used ones a record.

    Parameters
    ----------
    cfg : TicketSettings
        Limits of the window.
    node : str
        The issuing node.
    incarnation : int
        Incarnation of the issuing node.
    clock : Clock
        The clock of this process.

    Attributes
    ----------
    low, next : int
        The window contains the sequence numbers from `low` up to but not including
        `next`.
    life : Life
        The incarnation that issued the tickets.
    frozen : bool
        Whether the window starts no more runs because its hand-over has begun.
    hand_over_ended : trio.Event
        Set when the hand-over has succeeded or failed.
    handed_to : Successor or None
        The node that has taken over the window.
    may_have_been_handed_over : bool
        Whether another node may have taken over the window: the last message of the
        hand-over was sent and not rejected.
    frozen_records : tuple of RunRecord
        All runs known when the window was frozen. They are handed over even if they
        are refused or evicted meanwhile.
    frozen_runs : tuple of RunRecord
        The runs in progress when the window was frozen. Their outcomes are sent to the
        successor later.
    used : SparseBitmap
        Root calls that were started or may no longer start.
    burnt : SparseBitmap
        Root calls whose ticket was burnt; no child calls may start either.
    parents : SparseBitmap
        Root calls of which a child call was started.
    sealed : SparseBitmap
        Root calls that may start no more child calls.
    records : dict
        Runs in progress and runs with a kept outcome, by key.
    kept_bytes : int
        Total size of the kept outcomes in bytes.
    kept_sizes : OrderedDict
        Size in bytes of each kept outcome by key, the oldest first.
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
        self.may_have_been_handed_over = False
        self.frozen_records: tuple[RunRecord, ...] = ()
        self.frozen_runs: tuple[RunRecord, ...] = ()
        self.used = SparseBitmap()
        self.burnt = SparseBitmap()
        self.parents = SparseBitmap()
        self.sealed = SparseBitmap()
        self.records: dict[RunKey, RunRecord] = {}
        self.kept_bytes = 0
        # An OrderedDict, since finding the first key of a dict is slow after many keys
        # before it were deleted.
        self.kept_sizes: OrderedDict[RunKey, int] = OrderedDict()
        self._page_times: deque[Milliseconds] = deque()

    # -- issuing ---------------------------------------------------------------

    def issue(self, count: int) -> tuple[Ticket, ...] | NotIssued:
        """Issue a batch of tickets.

        Parameters
        ----------
        count : int
            Number of tickets; clipped to between 1 and `TicketSettings.max_batch`.

        Returns
        -------
        tuple of Ticket or NotIssued
            The tickets, or when to ask again.
        """
        count = min(max(count, 1), self.cfg.max_batch)
        wait = self._advance_window(self.next + count)
        if wait > 0:
            return NotIssued(wait)
        first = self.next
        self.next += count
        self._record_page_times()
        node, incarnation = self.node, self.incarnation
        return tuple(Ticket(node, incarnation, n) for n in range(first, self.next))

    def _advance_window(self, end: int) -> Milliseconds:
        """Drop the oldest pages to make room for the sequence numbers below `end`.

        Returns 0 if there is room; otherwise the milliseconds until the oldest page may
        be dropped.
        """
        while end - self.low > self.cfg.window:
            age = self.clock.now() - self._page_times[0]
            if age < self.cfg.min_age:
                return self.cfg.min_age - age
            self._drop_oldest_page()
        return 0.0

    def _drop_oldest_page(self) -> None:
        self._page_times.popleft()
        self.low = (self.low // PAGE_BITS + 1) * PAGE_BITS
        for bitmap in (self.used, self.burnt, self.parents, self.sealed):
            bitmap.drop_below(self.low)

    def _record_page_times(self) -> None:
        """Record the time of the last issue in the newest page and in new pages."""
        now = self.clock.now()
        if self._page_times:
            self._page_times[-1] = now
        n_pages = (self.next - 1) // PAGE_BITS - self.low // PAGE_BITS + 1
        while len(self._page_times) < n_pages:
            self._page_times.append(now)

    # -- claiming and finishing ------------------------------------------------

    def claim(self, sequence: int, child_key: str, fingerprint: bytes) -> Claim:
        """Claim a run for a request, or return its state if it was claimed before.

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
            `Start` at most once for each key; again only after `finish` was called
            with `Refused`.
        """
        key = run_key(sequence, child_key)
        record = self.records.get(key)
        if record is not None:
            return self._claim_again(record, fingerprint)
        unusable = self._check_unusable(sequence, child_key)
        if unusable is not None:
            return unusable
        if self.frozen:
            return WindowFrozen()
        record = RunRecord(key, fingerprint)
        self.records[key] = record
        (self.parents if child_key else self.used).add(sequence)
        return Start(record)

    def _claim_again(self, record: RunRecord, fingerprint: bytes) -> Claim:
        if record.fingerprint != fingerprint:
            return RequestMismatch()
        if record.outcome is None:
            return InProgress(record)
        return KeptOutcome(record.outcome)

    def _check_unusable(
        self, sequence: int, child_key: str
    ) -> Burnt | Forgotten | None:
        if not self.low <= sequence < self.next:
            return Forgotten("the ticket has expired or was never issued")
        if sequence in self.burnt:
            return Burnt()
        if sequence in (self.sealed if child_key else self.used):
            return Forgotten("the outcome is no longer kept")
        return None

    def finish(self, record: RunRecord, outcome: Outcome) -> None:
        """Record the outcome of a run that `claim` allowed to start.

        Parameters
        ----------
        record : RunRecord
            Record of the run, from `Start`.
        outcome : Outcome
            After `Refused` the ticket can be used again, or is burnt if `record.burn`
            is set.
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
        """Evict the oldest outcomes until the limits on bytes and number are met.

        Parameters
        ----------
        kept_bytes : int
            Maximum total size of the kept outcomes in bytes.
        """
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
        """Stop starting runs, permanently, at the start of a hand-over.

        After a failed hand-over, resets `hand_over_ended` for another attempt.
        """
        if not self.frozen:
            self.frozen = True
            self.frozen_records = tuple(self.records.values())
            self.frozen_runs = tuple(
                record for record in self.frozen_records if record.outcome is None
            )
        if self.hand_over_ended.is_set() and self.handed_to is None:
            self.hand_over_ended = trio.Event()

    # -- settling --------------------------------------------------------------

    def settle(self, sequence: int) -> Settled:
        """Return the state of a root call's ticket; burn it if it was not started.

        If the run is in progress, its ticket is burnt in case the run is refused.

        Parameters
        ----------
        sequence : int
            Sequence of the ticket.

        Returns
        -------
        InProgress or KeptOutcome or Burnt or Forgotten or WindowFrozen
            `Burnt` only if the request was not executed and never will be.
        """
        record = self.records.get(sequence)
        if record is not None:
            if record.outcome is not None:
                return KeptOutcome(record.outcome)
            record.burn = True
            return InProgress(record)
        unusable = self._check_unusable(sequence, "")
        if unusable is not None:
            return unusable
        if self.frozen:
            return WindowFrozen()
        self.used.add(sequence)
        self.sealed.add(sequence)
        if sequence in self.parents:
            return Forgotten("the root call was not started here, but a child call was")
        self.burnt.add(sequence)
        return Burnt()
