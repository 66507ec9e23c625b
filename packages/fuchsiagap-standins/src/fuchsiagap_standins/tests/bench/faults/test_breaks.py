from __future__ import annotations

from testtools import TestCase

from fuchsiagap_standins.bench.faults.breaks import BREAKS
from fuchsiagap_standins.bench.faults.conditions import Conditions
from fuchsiagap_standins.bench.faults.plan import Fault, FaultKind
from fuchsiagap_standins.bench.faults.run import RunResult, run_once
from fuchsiagap_standins.bench.faults.shape import NODES

N_SEEDS = 6
AT_S = 2.2


def a_fault(kind: FaultKind, node: str = "certs-1", at: float = AT_S) -> Fault:
    return Fault(kind, at, 2.0, node, "hall-a")


def caught(broken: str, *faults: Fault, **tight: int) -> RunResult:
    """Return the first run whose check notices the planted bug, or the last."""
    conditions = Conditions(pause=0.15, load_s=4.5, **tight)
    for seed in range(1, N_SEEDS + 1):
        result = run_once(seed, broken, faults, conditions)
        if result.findings.count(BREAKS[broken].check):
            break
    return result


class PlantedBugTest(TestCase):
    def assertCaught(self, broken: str, *faults: Fault, **tight: int):  # noqa: N802
        found = caught(broken, *faults, **tight).findings.violations
        self.assertIn(BREAKS[broken].check, found, broken)

    def test_forget_window(self):
        self.assertCaught("forget-window", a_fault(FaultKind.ANSWERS_DELAYED))

    def test_retry_unknown(self):
        nodes = ("certs-1", "certs-2", "cycles-1")
        faults = [a_fault(FaultKind.LINKS_LOST, node) for node in nodes]
        self.assertCaught("retry-unknown", *faults)

    def test_refuse_unknown(self):
        faults = [
            Fault(FaultKind.BACKEND_CRASH, AT_S + 0.25 * n, 0.1, node, "")
            for n in range(8)
            for node in ("certs-1", "certs-2")
        ]
        self.assertCaught("refuse-unknown", *faults)

    def test_unburnt_not_run(self):
        fault = a_fault(FaultKind.ANSWERS_DELAYED)
        self.assertCaught("unburnt-not-run", fault, kept_answers=2)

    def test_reborn_home(self):
        nodes = ("results-1", "results-2", "cycles-1", "cycles-2", "certs-1")
        faults = [a_fault(FaultKind.RESTART, node, at=3.0) for node in nodes]
        self.assertCaught("reborn-home", *faults, a_fault(FaultKind.ANSWERS_DELAYED))

    def test_key_by_parent_call(self):
        faults = [a_fault(FaultKind.LINKS_LOST, node) for node, _ in NODES]
        self.assertCaught("key-by-parent-call", *faults)

    def test_adopt_lower_version(self):
        faults = [a_fault(FaultKind.RACING_OPERATORS), a_fault(FaultKind.PARTITION)]
        self.assertCaught("adopt-lower-version", *faults)

    def test_skip_drain_notice(self):
        self.assertCaught("skip-drain-notice", a_fault(FaultKind.ROLLING_RESTART))

    def test_stop_with_work(self):
        self.assertCaught("stop-with-work", a_fault(FaultKind.ROLLING_RESTART))

    def test_swap_answers(self):
        self.assertCaught("swap-answers")

    def test_lose_allowance(self):
        self.assertCaught("lose-allowance", a_fault(FaultKind.CRASH), slots=2)

    def test_every_planted_bug_has_a_test(self):
        named = {name.removeprefix("test_") for name in dir(self)}
        missing = {name for name in BREAKS if name.replace("-", "_") not in named}
        self.assertEqual(set(), missing)


class RunTest(TestCase):
    def test_the_same_seed_gives_the_same_run(self):
        conditions = Conditions(load_s=3.0)
        one, other = (run_once(7, conditions=conditions) for _ in range(2))
        self.assertEqual(one.findings, other.findings)
        self.assertEqual(one.outcomes, other.outcomes)
        self.assertEqual(one.requests, other.requests)
        self.assertGreater(one.requests, 0)

    def test_a_failure_brings_its_time_line(self):
        result = caught("swap-answers")
        self.assertTrue(any("call-received" in line for line in result.timeline))
