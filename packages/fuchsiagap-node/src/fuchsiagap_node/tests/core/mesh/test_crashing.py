"""Quarantine of a request that crashes servers.

Guards against a request that crashes one server after another, which ends all other
requests that they run. The request crashes its server within a tenth of a second, is
retried on the next one, and is then sent again by its caller through another node. If
no node remembers the request beyond the attempt, it reaches servers 12 or 14 more times
after it crashed three. The log event of each crash names the requests that the server
ran: with two callers that send such a request and sixty others, 36 of 36 crashes in
12 s name that request; without those two callers there are no crashes.
"""

from testtools import TestCase

from fuchsiagap_standins.mesh.crash_simulation import CrashScenario, simulate_crashes

# Seconds after the third crash within which the request has to be held everywhere, and
# the arrivals at servers that are allowed after that.
DETECTION_S = 3.0
MAX_LATE_ARRIVALS = 3
SEEDS = (1, 2, 3)


class TestCrashing(TestCase):
    def check(self, scenario, seed, min_share=0.98):
        """Run a scenario; check late arrivals and the service of all other callers."""
        record = simulate_crashes(scenario, seed)
        self.assertGreaterEqual(len(record.crashed_at), 3, seed)
        self.assertLessEqual(record.late_arrivals(DETECTION_S), MAX_LATE_ARRIVALS, seed)
        shares = record.answered_shares(record.third_crash_at() + DETECTION_S)
        self.assertGreater(min(shares.values()), min_share, (seed, shares))

    def test_request_that_crashes_servers_is_quarantined(self):
        for seed in SEEDS:
            self.check(CrashScenario(), seed)

    def test_nested_call_that_crashes_servers_is_quarantined(self):
        for seed in SEEDS:
            self.check(CrashScenario(is_deep=True), seed)

    def test_no_request_is_refused_when_servers_crash_for_other_reasons(self):
        scenario = CrashScenario(n_poison_callers=0, n_other_crashes=24)
        record = simulate_crashes(scenario, 1)
        all_back = record.started_at + scenario.seconds / 2.0 + scenario.down_s + 1.0
        shares = record.answered_shares(all_back)
        self.assertEqual({1.0}, set(shares.values()), shares)
