"""Subset of instances: bounded, evenly spread and stable."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.routing.candidate import NEVER, Candidate
from fuchsiagap.core.routing.subset import rendezvous_rank, subset_of
from fuchsiagap.tests.core.routing.a_router import (
    CERTS,
    ManualClock,
    a_router,
    an_answer,
    instances,
    run_calls,
)

SIZE = 12


def subset_for(node, members):
    candidates = [
        Candidate(member, rendezvous_rank(node, member.node), NEVER, 0.0)
        for member in members
    ]
    return {c.instance.node for c in subset_of(candidates, SIZE)}


class SubsetTest(TestCase):
    def test_subset_depends_on_the_node_but_not_on_the_order(self):
        members = instances(100)
        subset = subset_for("results-1", members)
        self.assertEqual(SIZE, len(subset))
        self.assertEqual(subset, subset_for("results-1", members[::-1]))
        self.assertNotEqual(subset, subset_for("results-2", members))

    def test_removing_one_member_changes_at_most_one_place(self):
        members = instances(100)
        before = subset_for("results-1", members)
        for gone in range(100):
            left = [m for m in members if m is not members[gone]]
            after = subset_for("results-1", left)
            is_in = members[gone].node in before
            self.assertEqual(1 if is_in else 0, len(after - before))

    def test_callers_spread_over_all_members(self):
        members = instances(60)
        n_callers = 400
        links = dict.fromkeys((m.node for m in members), 0)
        for caller in range(n_callers):
            for node in subset_for(f"results-{caller}", members):
                links[node] += 1
        mean = n_callers * SIZE / len(members)
        self.assertLess(mean * 0.6, min(links.values()))
        self.assertLess(max(links.values()), mean * 1.5)

    def test_router_uses_no_more_than_its_subset(self):
        router = a_router(ManualClock(), local_subset=4)
        router.update(instances(50))
        counts = run_calls(router, 500, lambda _: an_answer())
        self.assertEqual(4, len(counts))
        self.assertIn(router.choose(CERTS).node, counts)
