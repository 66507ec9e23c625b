"""Exchange of crash reports and holds among nodes."""

import random

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest, QuarantineSettings
from fuchsiagap_node.core.mesh.crash_reports import CrashReports
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.frames import FrameReader, encode

CRASHING = b"g" * 16
HARMLESS = b"c" * 16


class Nodes:
    """Nodes that exchange reports without delay, encoded as frames of links."""

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
        """Return the function by which one node sends to another."""

        def send(report):
            self.posted += 1
            (message,) = FrameReader().feed(encode(report))
            self.reports[receiver].handle(message, str(sender))

        return send

    def crash(self, number, *fingerprints):
        """Report another crash of the server of a node."""
        self.reports[number].report_crash(
            f"i-{number} {self.posted}", frozenset(fingerprints)
        )

    def n_holding(self):
        """Return how many nodes hold the request that crashes servers."""
        return sum(not reports.may_be_sent(CRASHING) for reports in self.reports)


class TestCrashReports(TestCase):
    def test_request_is_held_at_all_nodes_after_three_crashes(self):
        nodes = Nodes(12)
        for number in range(3):
            self.assertEqual(0, nodes.n_holding())
            nodes.crash(number, CRASHING, b"%016d" % number)
        self.assertEqual(12, nodes.n_holding())

    def test_reports_are_forwarded_where_not_all_nodes_are_linked(self):
        ring = [((n - 1) % 9, (n + 1) % 9) for n in range(9)]
        nodes = Nodes(9, ring)
        for number in (0, 3, 6):
            nodes.crash(number, CRASHING)
        self.assertEqual(9, nodes.n_holding())

    def test_holds_reach_a_hundred_nodes_with_few_messages_each(self):
        nodes = Nodes(100)
        for number in range(3):
            nodes.crash(number, CRASHING)
        self.assertEqual(100, nodes.n_holding())
        # Messages of each node: eight for each crash, and one to every other node for
        # the hold.
        self.assertLess(nodes.posted / 100, 3 * 8 + 2 * 100)

    def test_snapshot_tells_a_restarted_node_of_holds(self):
        nodes = Nodes(3)
        for number in range(3):
            nodes.crash(number, CRASHING)
        restarted = Nodes(1).reports[0]
        nodes.reports[0].send_snapshot(lambda report: restarted.handle(report, "0"))
        self.assertFalse(restarted.may_be_sent(CRASHING))

    def test_snapshot_preserves_crashes_over_a_rolling_restart(self):
        nodes = Nodes(2)
        nodes.crash(0, CRASHING)
        nodes.crash(0, CRASHING)
        restarted = Nodes(1).reports[0]
        nodes.reports[1].send_snapshot(lambda report: restarted.handle(report, "1"))
        restarted.report_crash("i-9", frozenset({CRASHING}))
        self.assertFalse(restarted.may_be_sent(CRASHING))

    def test_request_that_was_answered_anywhere_is_not_held(self):
        nodes = Nodes(5)
        nodes.reports[4].record_answer(HARMLESS)
        for number in range(4):
            nodes.crash(number, HARMLESS)
            nodes.crash(number, HARMLESS)
        for reports in nodes.reports:
            self.assertTrue(reports.may_be_sent(HARMLESS))

    def test_clearances_after_one_crash_cost_few_messages(self):
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

    def test_hold_is_cleared_everywhere_after_an_answer(self):
        nodes = Nodes(4)
        nodes.reports[3].record_answer(CRASHING)
        nodes.reports[0].handle(HeldRequest(CRASHING, "certs", 3, 0.0), "")
        self.assertEqual(0, nodes.n_holding())

    def test_one_server_runs_a_probe_that_is_announced_to_all(self):
        nodes = Nodes(4)
        for number in range(3):
            nodes.crash(number, CRASHING)
        self.assertFalse(nodes.reports[1].may_run(CRASHING))
        nodes.now += QuarantineSettings().probe_ms
        self.assertEqual(0, nodes.n_holding())
        self.assertTrue(nodes.reports[1].may_run(CRASHING))
        self.assertEqual(4, nodes.n_holding())
        self.assertFalse(nodes.reports[2].may_run(CRASHING))

    def test_refusals_are_all_counted_but_few_are_logged(self):
        nodes = Nodes(1)
        (reports,) = nodes.reports
        for number in range(1_000):
            reports.record_refusal(CRASHING, str(number))
        nodes.now += 1_000.0
        reports.record_refusal(CRASHING, "late")
        self.assertEqual(1_001, reports._event_log.counts["quarantine_refused", ""])
        self.assertEqual(21, reports._event_log.counts["events", "quarantine-refused"])

    def test_crash_with_only_answered_requests_is_not_reported(self):
        nodes = Nodes(2)
        nodes.reports[0].record_answer(HARMLESS)
        nodes.crash(0, HARMLESS)
        self.assertEqual(0, nodes.posted)
        nodes.reports[1].handle(Crash("i-9", "certs", 0.0, frozenset({CRASHING})), "0")
        self.assertEqual(1, nodes.reports[1].quarantine.n_suspects)
