"""Nodes tell each other of requests that crash servers."""

import random

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.quarantine.quarantine import Crash, Held, QuarantineSettings
from fuchsiagap_node.core.mesh.crash_reports import CrashReports
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.frames import FrameReader, encode

GUILTY = b"g" * 16
COMMON = b"c" * 16


class Nodes:
    """Nodes that reach each other at once, over the frames of links."""

    def __init__(self, n_nodes, links=None):
        self.now = 0.0
        self.posted = 0
        self.reports = []
        clock = Clock(lambda: self.now, lambda: 0.0)
        for number in range(n_nodes):
            rng, event_log = random.Random(number), EventLog(str(number), clock)
            cfg = QuarantineSettings()
            reports = CrashReports(cfg, "certs", clock, rng, event_log)
            self.reports.append(reports)
            linked = range(n_nodes) if links is None else links[number]
            reports.peers = self._posts(number, linked)

    def _posts(self, number, linked):
        names = [other for other in linked if other != number]
        return lambda: {str(n): self.post(number, n) for n in names}

    def post(self, sender, receiver):
        """Return how one node sends to another."""

        def send(report):
            self.posted += 1
            (message,) = FrameReader().feed(encode(report))
            self.reports[receiver].handle(message, str(sender))

        return send

    def crash(self, number, *fingerprints):
        """Let a server crash once more."""
        self.reports[number].report_crash(
            f"i-{number} {self.posted}", frozenset(fingerprints)
        )

    def holding(self):
        """Return how many nodes hold the guilty request."""
        return sum(not reports.may_be_sent(GUILTY) for reports in self.reports)


class TestCrashReports(TestCase):
    def test_three_crashes_at_three_nodes_are_known_everywhere_at_once(self):
        nodes = Nodes(12)
        for number in range(3):
            self.assertEqual(0, nodes.holding())
            nodes.crash(number, GUILTY, b"%016d" % number)
        self.assertEqual(12, nodes.holding())

    def test_news_is_passed_on_where_not_all_are_linked(self):
        ring = [((n - 1) % 9, (n + 1) % 9) for n in range(9)]
        nodes = Nodes(9, ring)
        for number in (0, 3, 6):
            nodes.crash(number, GUILTY)
        self.assertEqual(9, nodes.holding())

    def test_holds_reach_all_of_many_nodes_in_few_messages_each(self):
        nodes = Nodes(100)
        for number in range(3):
            nodes.crash(number, GUILTY)
        self.assertEqual(100, nodes.holding())
        # Eight for each crash, and one to each other node for the hold.
        self.assertLess(nodes.posted / 100, 3 * 8 + 2 * 100)

    def test_node_that_starts_anew_is_told_before_it_sends(self):
        nodes = Nodes(3)
        for number in range(3):
            nodes.crash(number, GUILTY)
        again = Nodes(1).reports[0]
        nodes.reports[0].send_snapshot(lambda report: again.handle(report, "0"))
        self.assertFalse(again.may_be_sent(GUILTY))

    def test_nodes_that_start_one_after_the_other_forget_no_crash(self):
        nodes = Nodes(2)
        nodes.crash(0, GUILTY)
        nodes.crash(0, GUILTY)
        again = Nodes(1).reports[0]
        nodes.reports[1].send_snapshot(lambda report: again.handle(report, "1"))
        again.report_crash("i-9", frozenset({GUILTY}))
        self.assertFalse(again.may_be_sent(GUILTY))

    def test_request_that_one_node_saw_answered_is_held_by_none(self):
        nodes = Nodes(5)
        nodes.reports[4].record_answer(COMMON)
        for number in range(4):
            nodes.crash(number, COMMON)
            nodes.crash(number, COMMON)
        for reports in nodes.reports:
            self.assertTrue(reports.may_be_sent(COMMON))

    def test_answers_after_one_crash_cost_few_messages(self):
        nodes = Nodes(100)
        ran = [b"%016d" % number for number in range(100)]
        nodes.crash(0, *ran)
        before = nodes.posted
        for one in ran:
            nodes.reports[1].record_answer(one)
        for _ in range(9):
            for reports in nodes.reports:
                reports.flush()
        self.assertLess((nodes.posted - before) / 100, 20)
        n_left = sum(reports.quarantine.n_suspects > 0 for reports in nodes.reports)
        self.assertLess(n_left, 5)

    def test_hold_that_an_answer_disproves_ends_everywhere(self):
        nodes = Nodes(4)
        nodes.reports[3].record_answer(GUILTY)
        nodes.reports[0].handle(Held(GUILTY, "certs", 3, 0.0), "")
        self.assertEqual(0, nodes.holding())

    def test_server_runs_one_trial_and_all_know_of_it(self):
        nodes = Nodes(4)
        for number in range(3):
            nodes.crash(number, GUILTY)
        self.assertFalse(nodes.reports[1].may_run(GUILTY))
        nodes.now += QuarantineSettings().probe_ms
        self.assertEqual(0, nodes.holding())
        self.assertTrue(nodes.reports[1].may_run(GUILTY))
        self.assertEqual(4, nodes.holding())
        self.assertFalse(nodes.reports[2].may_run(GUILTY))

    def test_refusals_write_few_lines(self):
        nodes = Nodes(1)
        (reports,) = nodes.reports
        for number in range(1_000):
            reports.record_refusal(GUILTY, str(number))
        nodes.now += 1_000.0
        reports.record_refusal(GUILTY, "late")
        self.assertEqual(1_001, reports._event_log.counts["quarantine_refused", ""])
        self.assertEqual(21, reports._event_log.counts["events", "quarantine-refused"])

    def test_crash_that_ran_only_what_was_answered_is_not_told(self):
        nodes = Nodes(2)
        nodes.reports[0].record_answer(COMMON)
        nodes.crash(0, COMMON)
        self.assertEqual(0, nodes.posted)
        nodes.reports[1].handle(Crash("i-9", "certs", 0.0, frozenset({GUILTY})), "0")
        self.assertEqual(1, nodes.reports[1].quarantine.n_suspects)
