"""Events and metrics of calls at the node that serves them."""

from __future__ import annotations

import trio
from testtools import TestCase

from fuchsiagap.core.admission.gate import Admitted
from fuchsiagap.core.calls.outcome import Answered, Reason, Unknown
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter, Measure
from fuchsiagap.core.telemetry.violations import Invariant, InvariantViolated
from fuchsiagap_node.core.callpath.calls import CallTable
from fuchsiagap_node.core.callpath.serve import serve
from fuchsiagap_node.tests.core.callpath.dispatch_fleet import Fleet
from fuchsiagap_standins.builders import a_head, a_service
from fuchsiagap_standins.testing import run_virtual

NODE = "certs-0"
WAIT_MS = 30.0
RUN_S = 0.2


class TestServeTelemetry(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = None

    def serve(self, prepare, head=None, give_up_s=60.0):
        """Serve one call, cancelled after `give_up_s`; return its outcome."""

        async def run():
            self.fleet = Fleet(["certs"], n_instances=1)
            self.state = self.fleet.states[NODE]
            prepare(self.fleet)
            outcome = None
            with trio.move_on_after(give_up_s):
                outcome = await serve(self.state, head or a_head(), b"")
            return outcome

        return run_virtual(run)

    def events(self):
        return self.state.telemetry.ring.since().events

    def kinds(self):
        return [event.kind for event in self.events()]

    def summaries(self):
        found = self.state.telemetry.metrics.summaries()
        return {(s.measure, s.outcome): s.total for s in found}

    def test_queueing_delay_and_added_time_exclude_backend_time(self):
        async def slow(_state, _head):
            await trio.sleep(RUN_S)
            return Answered(200, (), b"")

        def prepare(fleet):
            async def enter(head):
                await trio.sleep(WAIT_MS / 1000)
                return Admitted(head, 0.0, WAIT_MS, 1)

            fleet.program = slow
            fleet.states[NODE].gate.enter = enter

        self.serve(prepare)
        kinds = [EventKind.CALL_ADMITTED, EventKind.CALL_ANSWERED]
        self.assertEqual(kinds, self.kinds())
        totals = self.summaries()
        self.assertAlmostEqual(WAIT_MS, totals[Measure.QUEUEING_DELAY, "answered"])
        self.assertAlmostEqual(WAIT_MS, totals[Measure.ADDED_TIME, "answered"], 3)

    def test_refusal_event_records_the_reason(self):
        def prepare(fleet):
            fleet.refuse = lambda _node, _head: Reason.OVERLOAD

        self.serve(prepare)
        (event,) = self.events()
        self.assertEqual(EventKind.CALL_REFUSED, event.kind)
        self.assertEqual(("backend", "overload"), _place_and_reason(event))

    def test_call_past_its_deadline_is_recorded_as_expired(self):
        for reason, deadline in ((Reason.DEADLINE, 1_000.0), (None, -1.0)):

            def prepare(fleet, reason=reason):
                fleet.refuse = lambda _node, _head: reason

            self.serve(prepare, a_head(deadline=deadline))
            kinds = [EventKind.CALL_EXPIRED, EventKind.CALL_REFUSED]
            self.assertEqual(kinds, self.kinds())
            metrics = self.state.telemetry.metrics
            self.assertEqual(
                1, metrics.counter_value(Counter.CALLS_EXPIRED, a_head().route)
            )

    def test_cancelled_call_is_recorded_while_queued_and_while_running(self):
        async def forever(*_args):
            await trio.sleep_forever()

        def waits(fleet):
            fleet.states[NODE].gate.enter = forever

        def runs(fleet):
            fleet.program = forever

        for prepare in (waits, runs):
            self.serve(prepare, a_head(deadline=1e6), give_up_s=1.0)
            self.assertEqual(EventKind.CALL_CANCELLED, self.kinds()[-1])
            self.assertIn((Measure.ADDED_TIME, "cancelled"), self.summaries())

    def test_incomplete_answer_is_counted(self):
        async def broken(_state, _head):
            return Unknown(Reason.INCOMPLETE_ANSWER)

        self.serve(lambda fleet: setattr(fleet, "program", broken))
        self.assertIn(EventKind.INCOMPLETE_ANSWER, self.kinds())
        metrics = self.state.telemetry.metrics
        self.assertEqual(1, metrics.counter_value(Counter.INCOMPLETE_ANSWERS))

    def test_new_work_on_a_leaving_node_is_a_violation(self):
        def prepare(fleet):
            fleet.states[NODE].calls = _LeavingAfterCheck(fleet.states[NODE])

        fault = self.assertRaises(InvariantViolated, self.serve, prepare)
        self.assertIn(Invariant.WORK_AFTER_LEAVING.value, str(fault))
        self.assertEqual([], self.fleet.runs)


class _LeavingAfterCheck(CallTable):
    """Makes the node leave between the last check of `leaving` and the run."""

    def __init__(self, state):
        super().__init__()
        self.state = state

    def notify_if_idle(self):
        self.state.leaving = True


class TestAttemptTelemetry(TestCase):
    def test_returned_allowance_above_the_share_is_a_violation(self):
        async def run():
            fleet = Fleet(["certs", "results"], n_instances=1)

            async def ask(_address, _msg):
                return Answered(200, (), b"", allowance=99)

            fleet.states["certs-0"].peers.ask = ask
            head = a_head(service=a_service("results"), allowance=3)
            await fleet.call(head, NODE)

        fault = self.assertRaises(InvariantViolated, run_virtual, run)
        self.assertIn(Invariant.ATTEMPTS_ABOVE_BOUND.value, str(fault))

    def test_an_ejected_instance_is_recorded_once(self):
        async def run():
            fleet = Fleet(["certs"], n_instances=4)
            fleet.lose = lambda node, _head: "before" if node == "certs-3" else None
            for number in range(60):
                head = a_head(f"call-{number}", service=a_service("certs"))
                await fleet.call(head, NODE)
            return fleet.states[NODE].telemetry.ring.since().events

        events = run_virtual(run)
        found = [e.detail for e in events if e.kind is EventKind.INSTANCE_EJECTED]
        expected = {"node": "certs-3", "service": str(a_service("certs"))}
        self.assertEqual([expected], found)


def _place_and_reason(event):
    return event.detail["at"], event.detail["reason"]
