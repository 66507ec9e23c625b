"""Tests of the routing bench."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase

from fuchsiagap_standins.bench.routing import BASE, main
from fuchsiagap_standins.bench.routing_load import LoadRun

RUN_MS = 1_000.0


def run_briefly(seed, **changes):
    run = LoadRun(replace(BASE, **changes), seed)
    run.run(RUN_MS)
    return run


class LoadRunTest(TestCase):
    def test_same_seed_gives_same_calls(self):
        first, again, other = run_briefly(1), run_briefly(1), run_briefly(2)
        self.assertEqual(first.sent, again.sent)
        self.assertEqual(first.latencies, again.latencies)
        self.assertNotEqual(first.sent, other.sent)

    def test_every_call_ends_once(self):
        run = run_briefly(1)
        n_open = sum(server.running for server in run.servers.values())
        n_ended = len(run.latencies) + len(run.failures)
        self.assertGreater(n_ended, 2_000)
        self.assertLess(len(run.sent) - n_ended - n_open, 50)

    def test_hedging_adds_attempts(self):
        usual, hedged = run_briefly(1), run_briefly(1, hedge_after_ms=20.0)
        self.assertLess(len(usual.sent) * 1.1, len(hedged.sent))


class MainTest(TestCase):
    def test_unknown_measurement_is_a_usage_error(self):
        self.assertEqual(2, main(["--only", "nonsense"]))
