"""Each planted bug of the fault injection bench is detected by its check."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap_standins.bench.faults.breaks import BREAKS
from fuchsiagap_standins.bench.faults.conditions import Conditions
from fuchsiagap_standins.bench.faults.plan import Fault, FaultKind
from fuchsiagap_standins.bench.faults.run import RunResult, run_once
from fuchsiagap_standins.bench.faults.topology import NODES

N_SEEDS = 6
# Start of the faults in seconds of virtual time.
AT_S = 2.2


def make_fault(kind: FaultKind, node: str = "certs-1", at: float = AT_S) -> Fault:
    return Fault(kind, at, 2.0, node, "hall-a")


def run_until_detected(bug: str, *faults: Fault, **overrides: int) -> RunResult:
    """Return the first run whose check detects the planted bug, or the last run."""
    conditions = Conditions(mean_pause_s=0.15, load_s=4.5, **overrides)
    for seed in range(1, N_SEEDS + 1):
        result = run_once(seed, bug, faults, conditions)
        if result.findings.count(BREAKS[bug].check):
            break
    return result


class PlantedBugTest(TestCase):
    def assertDetected(self, bug: str, *faults: Fault, **overrides: int):  # noqa: N802
        found = run_until_detected(bug, *faults, **overrides).findings.violations
        self.assertIn(BREAKS[bug].check, found, bug)

    def test_forget_window(self):
        self.assertDetected("forget-window", make_fault(FaultKind.ANSWERS_DELAYED))

    def test_retry_unknown(self):
        nodes = ("certs-1", "certs-2", "cycles-1")
        faults = [make_fault(FaultKind.LINKS_LOST, node) for node in nodes]
        self.assertDetected("retry-unknown", *faults)

    def test_refuse_unknown(self):
        faults = [
            Fault(FaultKind.BACKEND_CRASH, AT_S + 0.25 * n, 0.1, node, "")
            for n in range(8)
            for node in ("certs-1", "certs-2")
        ]
        self.assertDetected("refuse-unknown", *faults)

    def test_unburnt_not_run(self):
        fault = make_fault(FaultKind.ANSWERS_DELAYED)
        self.assertDetected("unburnt-not-run", fault, kept_answers=2)

    def test_reborn_home(self):
        nodes = ("results-1", "results-2", "cycles-1", "cycles-2", "certs-1")
        faults = [make_fault(FaultKind.RESTART, node, at=3.0) for node in nodes]
        self.assertDetected(
            "reborn-home", *faults, make_fault(FaultKind.ANSWERS_DELAYED)
        )

    def test_key_by_parent_call(self):
        faults = [make_fault(FaultKind.LINKS_LOST, node) for node, _ in NODES]
        self.assertDetected("key-by-parent-call", *faults)

    def test_adopt_lower_version(self):
        faults = [
            make_fault(FaultKind.RACING_OPERATORS),
            make_fault(FaultKind.PARTITION),
        ]
        self.assertDetected("adopt-lower-version", *faults)

    def test_skip_drain_notice(self):
        self.assertDetected("skip-drain-notice", make_fault(FaultKind.ROLLING_RESTART))

    def test_stop_with_work(self):
        self.assertDetected("stop-with-work", make_fault(FaultKind.ROLLING_RESTART))

    def test_swap_answers(self):
        self.assertDetected("swap-answers")

    def test_lose_allowance(self):
        self.assertDetected("lose-allowance", make_fault(FaultKind.CRASH), slots=2)

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

    def test_a_failure_includes_its_timeline(self):
        result = run_until_detected("swap-answers")
        self.assertTrue(any("call-received" in line for line in result.timeline))
