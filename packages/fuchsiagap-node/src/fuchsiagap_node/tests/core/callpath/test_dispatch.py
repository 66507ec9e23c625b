"""Dispatch: choice of the instance, retries and the outcome returned."""

from __future__ import annotations

import trio
from testtools import TestCase

from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap.core.retries.budget import RetrySettings
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap_node.tests.core.callpath.dispatch_fleet import Fleet, call_child
from fuchsiagap_standins.builders import a_head, a_load, an_issue_head
from fuchsiagap_standins.testing import run_virtual

N_INSTANCES = 3


class DispatchCase(TestCase):
    """Runs one root call against a service with three instances."""

    def dispatch(self, head, arrange=lambda fleet: None, entry="results-0", **fleet):
        async def run():
            self.fleet = Fleet(["certs", "results"], N_INSTANCES, **fleet)
            arrange(self.fleet)
            return await self.fleet.call(head, entry)

        return run_virtual(run)

    def nodes_asked(self):
        return [node for node, _ in self.fleet.asked]


class FirstAttemptTest(DispatchCase):
    def test_first_attempt_returns_the_whole_allowance(self):
        outcome = self.dispatch(a_head(allowance=3))
        self.assertEqual((200, 3), (outcome.status, outcome.allowance))
        self.assertEqual(1, len(self.fleet.runs))

    def test_local_backend_server_is_called_without_a_link(self):
        def only_own(fleet):
            router = fleet.states["certs-1"].router
            own = router.choose(a_head().service, frozenset({"certs-0", "certs-2"}))
            router.update((own,))

        self.dispatch(a_head(), only_own, entry="certs-1")
        self.assertEqual([], self.fleet.asked)
        self.assertEqual("certs-1", self.fleet.runs[0][0])

    def test_deadline_on_the_wire_is_the_remaining_time(self):
        async def run():
            await trio.sleep(100.0)
            fleet = Fleet(["certs", "results"])
            await fleet.call(a_head(deadline=100_250.0), "results-0")
            return [head.deadline for _node, head in fleet.asked]

        self.assertEqual([250.0], run_virtual(run))

    def test_no_instance(self):
        def nobody(fleet):
            fleet.states["results-0"].router.update(())

        outcome = self.dispatch(a_head(allowance=2), nobody)
        self.assertEqual(Reason.NO_BACKEND, outcome.reason)
        self.assertEqual(2, outcome.allowance)

    def test_reported_load_sets_the_admission_level(self):
        async def run():
            fleet = Fleet(["certs", "results"])
            fleet.load = a_load(level_priority=2, level_cohort=0)
            await fleet.call(a_head(), "results-0")
            levels = fleet.states["results-0"].levels
            # The first call that would be refused is sent as a probe of the level.
            priorities = (5, 5, 1)
            return [levels.refusal(a_head(priority=p)) for p in priorities]

        probe, low, high = run_virtual(run)
        self.assertIsNone(probe)
        self.assertIsNotNone(low)
        self.assertIsNone(high)

    def test_call_outside_a_reported_level_is_refused_early(self):
        def report_level(fleet):
            load = a_load(level_priority=2, level_cohort=0)
            levels = fleet.states["results-0"].levels
            levels.learn(a_head().service, "certs/read", "certs-0", load)
            # One call per interval is sent as a probe; this is the one.
            self.assertIsNone(levels.refusal(a_head(priority=5)))

        outcome = self.dispatch(a_head(priority=5), report_level)
        self.assertEqual(Reason.OVERLOAD, outcome.reason)
        self.assertEqual([], self.fleet.asked)


class RetryTest(DispatchCase):
    def refuse_all(self, reason):
        def arrange(fleet):
            fleet.refuse = lambda node, head: reason

        return arrange

    def test_refusal_is_retried_elsewhere(self):
        def refuse_first(fleet):
            fleet.refuse = lambda node, head: (
                Reason.OVERLOAD if len(fleet.asked) == 1 else None
            )

        outcome = self.dispatch(an_issue_head(allowance=2), refuse_first)
        self.assertIsInstance(outcome, Answered)
        self.assertEqual(1, outcome.allowance)
        self.assertEqual(2, len(set(self.nodes_asked())))
        state = self.fleet.states["results-0"]
        counted = state.telemetry.metrics.counter_value(
            Counter.RETRIES, "salt-fog/certs"
        )
        self.assertEqual(1, counted)

    def test_no_instance_gets_two_attempts(self):
        outcome = self.dispatch(a_head(allowance=9), self.refuse_all(Reason.OVERLOAD))
        self.assertEqual(Reason.OVERLOAD, outcome.reason)
        self.assertEqual(N_INSTANCES, len(set(self.nodes_asked())))
        self.assertEqual(N_INSTANCES, len(self.fleet.asked))
        self.assertEqual(7, outcome.allowance)

    def test_each_attempt_has_an_id_of_its_own(self):
        self.dispatch(a_head(allowance=9), self.refuse_all(Reason.OVERLOAD))
        ids = [head.call_id for _, head in self.fleet.asked]
        self.assertEqual(N_INSTANCES, len(set(ids)))

    def test_refused_after_an_attempt_that_may_have_run_is_unknown(self):
        def arrange(fleet):
            fleet.lose = lambda node, head: None if "~" in head.call_id else "after"
            fleet.refuse = lambda node, head: (
                Reason.OVERLOAD if "~" in head.call_id else None
            )

        outcome = self.dispatch(a_head(allowance=3), arrange)
        self.assertIsInstance(outcome, Unknown)

    def test_no_retry_without_allowance(self):
        self.dispatch(a_head(allowance=0), self.refuse_all(Reason.OVERLOAD))
        self.assertEqual(1, len(self.fleet.asked))

    def test_no_retry_without_budget(self):
        cfg = RetrySettings(ratio=0.0, least_per_s=0.0)
        outcome = self.dispatch(
            a_head(allowance=2), self.refuse_all(Reason.OVERLOAD), retries=cfg
        )
        self.assertEqual(1, len(self.fleet.asked))
        self.assertEqual(2, outcome.allowance)

    def test_final_refusals_are_not_retried(self):
        for reason in (Reason.REFUSED_BELOW, Reason.BAD_REQUEST, Reason.DEADLINE):
            outcome = self.dispatch(a_head(), self.refuse_all(reason))
            self.assertEqual(reason, outcome.reason)
            self.assertEqual(1, len(self.fleet.asked))

    def test_refusal_is_retried_only_by_the_direct_caller(self):
        async def call_results(state, head):
            if head.service.name == "results":
                return Refused(Reason.BACKEND_REFUSED)
            outcome = await call_child(state, head, "results")
            return Refused(Reason.BACKEND_REFUSED, detail=outcome.detail)

        def arrange(fleet):
            fleet.program = call_results

        outcome = self.dispatch(a_head(allowance=2), arrange)
        self.assertEqual(Reason.REFUSED_BELOW, outcome.reason)
        services = [head.service.name for _, head in self.fleet.runs]
        self.assertEqual(["certs", "results", "results"], services)

    def test_no_retry_without_time_before_the_deadline(self):
        def slow_to_refuse(fleet):
            async def refuse(state, head):
                await trio.sleep(0.05)
                return Refused(Reason.BACKEND_REFUSED)

            fleet.program = refuse
            fleet.states["results-0"].router.least_times.learn(
                a_head().service, "certs/read", 100.0, 0.0
            )

        self.dispatch(a_head(deadline=140.0), slow_to_refuse)
        self.assertEqual(1, len(self.fleet.asked))

    def test_no_attempt_if_the_minimum_latency_exceeds_the_deadline(self):
        def slow(fleet):
            times = fleet.states["results-0"].router.least_times
            times.learn(a_head().service, "certs/read", 100.0, 0.0)

        outcome = self.dispatch(a_head(deadline=60.0), slow)
        self.assertEqual(Refused, type(outcome))
        self.assertEqual(Reason.DEADLINE, outcome.reason)
        self.assertEqual([], self.fleet.asked)


class LostLinkTest(DispatchCase):
    def lose_first(self, when):
        def arrange(fleet):
            fleet.lose = lambda node, head: when if len(fleet.asked) == 1 else None

        return arrange

    def test_unsent_attempt_is_retried_without_allowance(self):
        outcome = self.dispatch(an_issue_head(allowance=0), self.lose_first("before"))
        self.assertIsInstance(outcome, Answered)
        self.assertEqual(1, len(self.fleet.runs))

    def test_call_sent_to_no_instance_is_refused(self):
        def lose_all(fleet):
            fleet.lose = lambda node, head: "before"

        outcome = self.dispatch(an_issue_head(allowance=2), lose_all)
        self.assertEqual(Refused, type(outcome))
        self.assertEqual(2, outcome.allowance)
        self.assertEqual(N_INSTANCES, len(self.fleet.asked))

    def test_non_idempotent_call_may_have_run(self):
        outcome = self.dispatch(an_issue_head(allowance=3), self.lose_first("after"))
        self.assertEqual(Unknown, type(outcome))
        self.assertEqual(Reason.CONNECTION_LOST, outcome.reason)
        self.assertEqual(1, len(self.fleet.runs))

    def test_idempotent_call_runs_again_and_the_share_is_lost(self):
        outcome = self.dispatch(a_head(allowance=4), self.lose_first("after"))
        self.assertIsInstance(outcome, Answered)
        self.assertEqual(2, len(self.fleet.runs))
        lost_share = self.fleet.asked[0][1].allowance
        self.assertEqual(3, lost_share)
        self.assertEqual(4 - lost_share - 1, outcome.allowance)


class CancelTest(DispatchCase):
    def hang(self, fleet):
        async def sleep(state, head):
            await trio.sleep_forever()

        fleet.program = sleep

    def test_deadline_cancels_the_attempt_at_the_other_node(self):
        outcome = self.dispatch(a_head(deadline=250.0), self.hang)
        self.assertEqual(Unknown, type(outcome))
        self.assertEqual(Reason.DEADLINE, outcome.reason)
        self.assertEqual(self.nodes_asked(), self.fleet.cancelled)

    def test_cancelled_caller_cancels_the_attempt_and_frees_the_slot(self):
        async def run():
            fleet = Fleet(["certs", "results"])
            self.hang(fleet)
            with trio.move_on_after(0.1):
                await fleet.call(a_head(), "results-0")
            router = fleet.states["results-0"].router
            return fleet, [c.in_flight for c in router._candidates.values()]

        fleet, in_flight = run_virtual(run)
        self.assertEqual(1, len(fleet.cancelled))
        self.assertEqual({0}, set(in_flight))
