"""The attempts of a request do not exceed the calls of its tree plus its allowance."""

from __future__ import annotations

import random

import trio
from testtools import TestCase

from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap_node.core.callpath.attempts import is_repeat
from fuchsiagap_node.tests.core.callpath.dispatch_fleet import (
    Fleet,
    answer_ok,
    call_child,
)
from fuchsiagap_standins.builders import a_head, an_issue_head
from fuchsiagap_standins.testing import run_virtual

SERVICES = ["certs", "cycles", "bookings", "results"]
N_CHILDREN = 20


def fan_out(n_children, service="results", at="certs"):
    """Return a program that makes `n_children` concurrent nested calls."""

    async def program(state, head):
        if head.service.name != at:
            return Answered(200, (), b"")
        async with trio.open_nursery() as nursery:
            for _ in range(n_children):
                nursery.start_soon(call_child, state, head, service)
        return Answered(200, (), b"")

    return program


async def chain(state, head):
    """Call the next service of `SERVICES` twice concurrently, down to the last."""
    at = SERVICES.index(head.service.name)
    if at + 1 == len(SERVICES):
        return Answered(200, (), b"")
    async with trio.open_nursery() as nursery:
        for _ in range(2):
            nursery.start_soon(call_child, state, head, SERVICES[at + 1])
    return Answered(200, (), b"")


CHAIN_CALLS = 1 + 2 + 4 + 8


class FanOutTest(TestCase):
    def test_concurrent_children_stay_within_the_allowance(self):
        async def run(seed):
            fleet = Fleet(["certs", "results"], 4, seed)
            fleet.program = fan_out(N_CHILDREN)
            fleet.refuse = lambda node, head: (
                Reason.OVERLOAD if head.service.name == "results" else None
            )
            outcome = await fleet.call(a_head(allowance=6), "certs-0")
            return len(fleet.asked), outcome

        for seed in range(20):
            n_asked, outcome = run_virtual(run, seed, seed=seed)
            self.assertLessEqual(n_asked, 1 + N_CHILDREN + 6)
            self.assertGreaterEqual(n_asked, N_CHILDREN + 3)
            self.assertLessEqual(outcome.allowance, 6 - (n_asked - 1 - N_CHILDREN))

    def test_refused_child_is_retried_while_siblings_hold_shares(self):
        async def run(seed):
            fleet = Fleet(["certs", "results"], 4, seed)
            refused_index = random.Random(seed).randrange(N_CHILDREN)
            children = []

            def refuse(node, head):
                if head.service.name == "certs":
                    return None
                children.append(head.call_id)
                return Reason.OVERLOAD if len(children) == refused_index + 1 else None

            fleet.program = fan_out(N_CHILDREN)
            fleet.refuse = refuse
            outcome = await fleet.call(a_head(allowance=3), "results-0")
            return len(fleet.runs), outcome.allowance

        for seed in range(20):
            self.assertEqual((1 + N_CHILDREN, 2), run_virtual(run, seed, seed=seed))


class FaultsTest(TestCase):
    def test_bound_holds_under_refusals_and_lost_links(self):
        async def run(seed):
            rng = random.Random(seed)
            fleet = Fleet(SERVICES, 3, seed)
            fleet.program = chain
            refused, lost = rng.choice([0.0, 0.1, 0.4]), rng.choice([0.0, 0.1, 0.4])
            fleet.refuse = lambda node, head: (
                Reason.OVERLOAD if rng.random() < refused else None
            )
            fleet.lose = lambda node, head: "after" if rng.random() < lost else None
            allowance = rng.randrange(6)
            outcome = await fleet.call(a_head(allowance=allowance), "certs-0")
            return len(fleet.runs), allowance, outcome

        n_extra = 0
        for seed in range(150):
            n_runs, allowance, outcome = run_virtual(run, seed, seed=seed)
            self.assertLessEqual(n_runs, CHAIN_CALLS + allowance)
            self.assertTrue(0 <= outcome.allowance <= allowance)
            n_extra += max(n_runs - CHAIN_CALLS, 0)
        self.assertGreater(n_extra, 20)

    def test_crash_of_a_node_loses_only_its_share(self):
        async def run():
            fleet = Fleet(["certs", "results"], 3)
            fleet.program = fan_out(1)
            fleet.lose = lambda node, head: (
                "after" if head.service.name == "certs" else None
            )
            outcome = await fleet.call(a_head(allowance=4), "results-0")
            return fleet, outcome

        fleet, outcome = run_virtual(run)
        self.assertIsInstance(outcome, Unknown)
        certs = [head for _, head in fleet.asked if head.service.name == "certs"]
        self.assertEqual([3, 0], [head.allowance for head in certs])
        self.assertLessEqual(len(fleet.runs), 2 + 4)

    def test_child_of_a_repeat_is_refused_without_allowance(self):
        async def run():
            fleet = Fleet(["certs", "results"], 3)
            outcomes = []

            async def program(state, head):
                if head.service.name == "certs":
                    outcomes.append(await call_child(state, head, "results"))
                return await answer_ok(state, head)

            fleet.program = program
            fleet.lose = lambda node, head: (
                "after" if head.service.name == "certs" and not outcomes else None
            )
            await fleet.call(a_head(allowance=1), "results-0")
            return outcomes, len(fleet.runs)

        outcomes, n_runs = run_virtual(run)
        self.assertEqual([Answered, Refused], [type(o) for o in outcomes])
        self.assertEqual(2 + 1, n_runs)

    def test_child_of_a_repeat_takes_allowance_and_is_marked(self):
        async def run(head):
            fleet = Fleet(["certs", "results"], 3)
            outcome = await fleet.call(head, "results-0")
            return outcome.allowance, fleet.asked[0][1].call_id

        for parent_id, expected in (("above", 4), ("above~1!", 3)):
            head = a_head("child", parent_id=parent_id, allowance=4)
            left, call_id = run_virtual(run, head)
            self.assertEqual(expected, left)
            self.assertEqual(is_repeat(parent_id), is_repeat(call_id))

    def test_non_idempotent_child_of_a_repeat_takes_no_allowance(self):
        async def run():
            fleet = Fleet(["certs", "results"], 3)
            head = an_issue_head("child", parent_id="above~1!", allowance=0)
            return await fleet.call(head, "results-0")

        self.assertIsInstance(run_virtual(run), Answered)
