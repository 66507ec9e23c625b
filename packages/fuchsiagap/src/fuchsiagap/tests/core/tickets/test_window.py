"""Tests that a ticket window lets each request run at most once, within its limits."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.tickets.records import (
    Burnt,
    Claim,
    Forgotten,
    InProgress,
    KeptOutcome,
    NotIssued,
    RequestMismatch,
    Start,
    WindowFrozen,
)
from fuchsiagap.core.tickets.settings import TicketSettings
from fuchsiagap.core.tickets.sparse_bitmap import PAGE_BITS
from fuchsiagap.core.tickets.window import TicketWindow
from fuchsiagap_standins.builders import a_refusal, an_answer, an_unknown

if TYPE_CHECKING:
    from fuchsiagap.core.tickets.ticket import Ticket

FINGERPRINT = b"print"


class WindowCase(TestCase):
    cfg = TicketSettings(window=2 * PAGE_BITS, min_age=1000.0, kept_answers=3)

    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.window = self.make()

    def make(self, **changes: float) -> TicketWindow:
        clock = Clock(now=lambda: self.now, wall=lambda: 0.0)
        return TicketWindow(replace(self.cfg, **changes), "n1", 7, clock)

    def issue(self, count: int = 10) -> tuple[Ticket, ...]:
        issued = self.window.issue(count)
        assert isinstance(issued, tuple)
        return issued

    def claim(self, sequence: int, child_key: str = "") -> Claim:
        return self.window.claim(sequence, child_key, FINGERPRINT)

    def start(self, sequence: int, child_key: str = "") -> Start:
        claim = self.claim(sequence, child_key)
        assert isinstance(claim, Start), claim
        return claim

    def start_and_finish(
        self, outcome: object, sequence: int, child_key: str = ""
    ) -> None:
        self.window.finish(self.start(sequence, child_key).record, outcome)


class TestStates(WindowCase):
    def test_a_repeat_is_in_progress_and_then_gets_the_kept_answer(self) -> None:
        self.issue()
        record = self.start(3).record
        self.assertEqual(InProgress(record), self.claim(3))
        self.window.finish(record, an_answer())
        self.assertEqual(KeptOutcome(an_answer()), self.claim(3))

    def test_a_refused_root_or_child_call_can_start_again(self) -> None:
        self.issue()
        for child_key in ("", "desk:order#0"):
            self.start_and_finish(a_refusal(), 3, child_key)
            self.start(3, child_key)

    def test_an_unknown_outcome_is_kept(self) -> None:
        self.issue()
        self.start_and_finish(an_unknown(), 3)
        self.assertEqual(KeptOutcome(an_unknown()), self.claim(3))

    def test_tickets_that_were_never_issued_are_not_started(self) -> None:
        self.issue(10)
        for sequence in (10, 4000, -1):
            self.assertIsInstance(self.claim(sequence), Forgotten)
            self.assertIsInstance(self.window.settle(sequence), Forgotten)

    def test_one_ticket_for_two_requests_is_a_mismatch(self) -> None:
        self.issue()
        self.start_and_finish(an_answer(), 1)
        self.assertEqual(RequestMismatch(), self.window.claim(1, "", b"other"))

    def test_a_frozen_window_starts_no_runs_but_returns_outcomes(self) -> None:
        self.issue()
        self.start_and_finish(an_answer(), 1)
        self.window.freeze()
        self.assertEqual(KeptOutcome(an_answer()), self.claim(1))
        for child_key in ("", "k"):
            self.assertEqual(WindowFrozen(), self.claim(2, child_key))
        self.assertEqual(WindowFrozen(), self.window.settle(2))


class TestSettle(WindowCase):
    def test_an_unused_ticket_is_burnt_permanently(self) -> None:
        self.issue()
        for _ in range(2):
            self.assertEqual(Burnt(), self.window.settle(3))
        self.assertEqual(Burnt(), self.claim(3))
        self.assertEqual(Burnt(), self.claim(3, "k"))

    def test_a_run_in_progress_is_burnt_if_it_is_refused(self) -> None:
        self.issue()
        record = self.start(3).record
        self.assertEqual(InProgress(record), self.window.settle(3))
        self.window.finish(record, a_refusal())
        self.assertEqual(Burnt(), self.claim(3))

    def test_a_kept_answer_is_returned(self) -> None:
        self.issue()
        self.start_and_finish(an_answer(), 3)
        self.assertEqual(KeptOutcome(an_answer()), self.window.settle(3))

    def test_a_root_whose_child_was_started_is_forgotten_and_not_burnt(self) -> None:
        self.issue()
        self.start_and_finish(an_answer(), 3, "k")
        for _ in range(2):
            self.assertIsInstance(self.window.settle(3), Forgotten)
        self.assertIsInstance(self.claim(3), Forgotten)
        self.assertIsInstance(self.claim(3, "other"), Forgotten)
        self.assertEqual(KeptOutcome(an_answer()), self.claim(3, "k"))


class TestBounds(WindowCase):
    def test_evicted_outcomes_are_forgotten_and_not_run_again(self) -> None:
        self.issue()
        for sequence in range(5):
            self.start_and_finish(an_answer(), sequence)
        self.assertIsInstance(self.claim(0), Forgotten)
        self.assertIsInstance(self.window.settle(1), Forgotten)
        self.assertEqual(KeptOutcome(an_answer()), self.claim(2))
        self.assertEqual(3, len(self.window.records))

    def test_a_root_with_an_evicted_child_starts_no_more_children(self) -> None:
        self.issue()
        for n in range(4):
            self.start_and_finish(an_answer(), 1, f"k{n}")
        self.assertIsInstance(self.claim(1, "k0"), Forgotten)
        self.assertIsInstance(self.claim(1, "new"), Forgotten)
        self.start(2, "new")

    def test_size_of_kept_outcomes_is_limited(self) -> None:
        self.window = self.make(kept_bytes=5000, kept_answers=100)
        self.issue(100)
        for sequence in range(50):
            self.start_and_finish(an_answer(bytes(500)), sequence)
            self.assertLessEqual(self.window.kept_bytes, 5000)
        self.assertIsInstance(self.claim(49), KeptOutcome)

    def test_an_outcome_with_a_too_large_body_is_not_kept(self) -> None:
        self.window = self.make(max_kept_body=10)
        self.issue()
        self.start_and_finish(an_answer(bytes(11)), 0)
        self.assertIsInstance(self.claim(0), Forgotten)

    def test_no_tickets_are_issued_if_that_would_drop_young_ones(self) -> None:
        while isinstance(issued := self.window.issue(256), tuple):
            pass
        self.assertEqual(NotIssued(1000.0), issued)
        self.assertEqual((0, self.cfg.window), (self.window.low, self.window.next))
        self.now = 1000.0
        self.issue(256)
        self.assertEqual(PAGE_BITS, self.window.low)

    def test_tickets_below_the_window_are_forgotten(self) -> None:
        self.issue(10)
        self.start_and_finish(an_answer(), 0)
        self.window.settle(1)
        record = self.start(2).record
        for _ in range(4 * PAGE_BITS // 256):
            self.now += 500.0
            self.issue(256)
        self.assertGreater(self.window.low, 10)
        for sequence in (1, 3):
            self.assertIsInstance(self.claim(sequence), Forgotten)
        self.window.finish(record, a_refusal())
        self.assertIsInstance(self.claim(2), Forgotten)
        self.assertEqual({}, self.window.used.pages)

    def test_batch_size_is_clipped(self) -> None:
        self.assertEqual(256, len(self.issue(10**9)))
        self.assertEqual(1, len(self.issue(-5)))
