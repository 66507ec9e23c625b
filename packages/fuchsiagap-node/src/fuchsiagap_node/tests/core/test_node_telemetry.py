"""Events, metrics and violations recorded by the nodes of a fleet."""

from __future__ import annotations

import cbor2
import trio
from testtools import TestCase

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.calls.outcome import Answered, Reason
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter, Measure
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap_node.core import node as node_module
from fuchsiagap_node.core.callpath.entry import CallRequest, enter
from fuchsiagap_node.core.drain import stopping as drain
from fuchsiagap_standins.graphs import load_graph
from fuchsiagap_standins.node_fleet import open_node_fleet
from fuchsiagap_standins.testing import run_virtual

QUEENSLAND = load_graph("queensland")
ISSUE = QUEENSLAND.route("certs/issue")


def run_fleet(test):
    async def main():
        async with open_node_fleet(QUEENSLAND, 1) as fleet:
            await fleet.add_all()
            await fleet.until(fleet.agree, 5_000.0)
            await test(fleet)

    run_virtual(main)


def violations(node, invariant):
    return node.telemetry.metrics.counter_value(Counter.VIOLATIONS, invariant)


class TestNodeTelemetry(TestCase):
    def test_a_request_is_recorded_at_each_node_on_its_path(self):
        async def test(fleet):
            nodes = list(fleet.nodes.values())
            self.assertIsInstance(await fleet.request(ISSUE, 1), Answered)
            kinds = {e.kind for n in nodes for e in n.telemetry.ring.since().events}
            expected = {
                EventKind.CALL_RECEIVED,
                EventKind.CALL_ADMITTED,
                EventKind.CALL_ANSWERED,
                EventKind.TICKETS_ISSUED,
                EventKind.TICKET_STARTED,
                EventKind.TICKET_KEPT,
            }
            self.assertEqual(set(), expected - kinds)
            metrics = [node.telemetry.metrics for node in nodes]
            measured = {s.measure for m in metrics for s in m.summaries()}
            self.assertEqual(set(Measure), measured)
            for counter, kind in (
                (Counter.CALLS, EventKind.CALL_RECEIVED),
                (Counter.CALLS_RELAYED, EventKind.CALL_RELAYED),
            ):
                counted = [
                    v for m in metrics for c, _, v in m.counters() if c is counter
                ]
                recorded = sum(node.telemetry.ring.counts[kind] for node in nodes)
                self.assertEqual(recorded, sum(counted))
                self.assertGreater(recorded, 0)

        run_fleet(test)

    def test_a_request_without_route_is_counted_as_refused(self):
        async def test(fleet):
            node = fleet.entry()
            nobody = ServiceName("no-team", "nobody")
            outcome = await enter(node, CallRequest(nobody, "GET", "/", {}, (), b""))
            self.assertEqual(Reason.NO_ROUTE, outcome.reason)
            counted = node.telemetry.metrics.counter_value
            self.assertEqual(1, counted(Counter.REFUSALS, Reason.NO_ROUTE.value))

        run_fleet(test)

    def test_an_unsolicited_reply_is_a_violation(self):
        async def test(fleet):
            node = fleet.entry()
            link = await fleet.network.dial_from("10.0.9.9:1")(node.cfg.peer_address)
            hello = [6, "stray", 1, "hall-a", "10.0.9.9:1"]
            await link.send(cbor2.dumps([3, 0, 0, hello]))
            await link.send(cbor2.dumps([2, 7, 0, None]))
            await trio.sleep(0.1)
            self.assertEqual(1, violations(node, Invariant.WRONG_ANSWER))
            counted = node.telemetry.metrics.counter_value
            self.assertEqual(1, counted(Counter.CROSSED_ANSWERS))
            await link.send(b"")
            await trio.sleep(0.1)
            self.assertEqual(1, counted(Counter.MALFORMED_FRAMES))

        run_fleet(test)

    def stop_while_busy(self):
        """Stop a node during a call; return the violations and the outcome."""
        results = []

        async def test(fleet):
            async def request():
                results.append(await fleet.request(ISSUE, 1))

            states = dict(fleet.nodes)
            fleet.nursery.start_soon(request)
            busy_node = None
            while busy_node is None:
                await trio.sleep(0.0005)
                busy_node = next(
                    (n for n, s in states.items() if s.calls.has_calls()), None
                )
            await fleet.request_drain(busy_node).wait()
            results.insert(0, violations(states[busy_node], Invariant.PLANNED_STOP_CUT))
            await trio.sleep(5.0)

        run_fleet(test)
        return results

    def test_a_call_received_after_the_drain_is_not_interrupted(self):
        self.patch(drain, "drain", _return_immediately)
        n_violations, outcome = self.stop_while_busy()
        self.assertEqual(0, n_violations)
        self.assertIsInstance(outcome, Answered)

    def test_a_stop_that_interrupts_a_call_is_a_violation(self):
        self.patch(drain, "drain", _return_immediately)
        self.patch(node_module, "_until_quiet", _return_immediately)
        self.assertEqual(1, self.stop_while_busy()[0])


async def _return_immediately(*_args):
    """Return without waiting."""
