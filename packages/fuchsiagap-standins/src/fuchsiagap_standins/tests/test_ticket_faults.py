"""Random faults break no guarantee of the tickets, and a planted bug is found."""

from __future__ import annotations

import logging
from collections import Counter

from testtools import TestCase

from fuchsiagap.core.tickets.records import Burnt, Settled
from fuchsiagap.core.tickets.window import TicketWindow
from fuchsiagap_standins.ticket_faults import run_tickets

N_RUNS = 30


class TestTicketFaults(TestCase):
    def setUp(self) -> None:
        super().setUp()
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_faults_break_no_guarantee(self) -> None:
        outcomes: Counter[str] = Counter()
        faults: Counter[str] = Counter()
        for seed in range(N_RUNS):
            report = run_tickets(seed)
            self.assertEqual([], report.violations, f"seed {seed}")
            outcomes.update(report.outcomes)
            faults.update(report.faults)
        for kind in ("Answered", "Refused", "Unknown", "left"):
            self.assertGreater(outcomes[kind], N_RUNS)
        for kind in ("crash", "cut", "planned-stop", "handed-over"):
            self.assertGreater(faults[kind], N_RUNS // 2)

    def test_the_same_seed_gives_the_same_run(self) -> None:
        self.assertEqual(run_tickets(7), run_tickets(7))

    def test_unburnt_ticket_is_found(self) -> None:
        settle = TicketWindow.settle

        def leave_unburnt(window: TicketWindow, sequence: int) -> Settled:
            settled = settle(window, sequence)
            if settled == Burnt():
                for marks in (window.burnt, window.used, window.sealed):
                    marks.discard(sequence)
            return settled

        self.patch(TicketWindow, "settle", leave_unburnt)
        found = [text for seed in range(5) for text in run_tickets(seed).violations]
        self.assertIn("ran after being reported as not run", "".join(found))
