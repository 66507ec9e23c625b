from __future__ import annotations

import importlib

from testtools import TestCase

from fuchsiagap_standins.model import implementations
from fuchsiagap_standins.model.spec import ENVIRONMENT, Action, Spec, check
from fuchsiagap_standins.model.table import (
    BREAKS,
    NO_BUGS,
    TABLE,
    Bound,
    check_all,
    check_planted_bug,
)


class DesignTest(TestCase):
    def test_every_specification_holds_at_the_small_bound(self):
        for result in check_all(Bound.SMALL):
            self.assertTrue(result.exhaustive, result.spec)
            self.assertEqual((), result.counterexamples, result.spec)
            self.assertFalse(result.trap, result.spec)
            self.assertGreater(result.states, 100, result.spec)


class PlantedBugTest(TestCase):
    def test_every_planted_bug_has_a_counterexample(self):
        for name in BREAKS:
            found = check_planted_bug(name).counterexamples
            self.assertTrue(found, name)
            self.assertTrue(all(len(c.steps) > 1 for c in found), name)

    def test_required_bugs_can_be_planted(self):
        required = {
            "forget-window",
            "retry-unknown",
            "adopt-lower-version",
            "skip-drain-notice",
            "swap-answers",
            "lose-allowance",
        }
        self.assertEqual(set(), required - set(BREAKS))


class CheckTest(TestCase):
    def test_an_unfinished_search_does_not_hold(self):
        spec = TABLE[0].make(Bound.SMALL, NO_BUGS)
        result = check(spec, max_states=50)
        self.assertFalse(result.exhaustive)
        self.assertFalse(result.holds)

    def test_an_unreachable_goal_is_a_trap(self):
        design = TABLE[-1].make(Bound.SMALL, NO_BUGS)
        no_adoption = tuple(
            a for a in design.actions if a.name != "node adopts a version"
        )
        spec = Spec("stuck", design.initial, no_adoption, {}, design.goal)
        self.assertTrue(check(spec, max_states=100_000).trap)


class ImplementationTest(TestCase):
    def test_implementation_of_each_action_exists(self):
        for action in _actions():
            if action.implemented_by != ENVIRONMENT:
                self.assertTrue(_resolves(action.implemented_by), action.implemented_by)

    def test_each_implementation_is_used_by_an_action(self):
        named = {
            value for key, value in vars(implementations).items() if key[0].isupper()
        }
        self.assertEqual(set(), named - {a.implemented_by for a in _actions()})


def _actions() -> list[Action]:
    return [a for e in TABLE for a in e.make(Bound.SMALL, NO_BUGS).actions]


def _resolves(implementation: str) -> bool:
    module, _, path = implementation.partition(":")
    found: object = importlib.import_module(module)
    for name in path.split("."):
        found = getattr(found, name, None)
    return found is not None
