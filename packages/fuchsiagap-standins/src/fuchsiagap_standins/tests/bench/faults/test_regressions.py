"""Regression tests of single faults that randomised runs have found."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import TYPE_CHECKING, TypeVar

import trio
from testtools import TestCase

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import (
    Answered,
    Outcome,
    Reason,
    Refused,
    Unknown,
)
from fuchsiagap.core.retries.allowance import Allowance
from fuchsiagap.core.settings.book import SettingsBook
from fuchsiagap_node.core.callpath.attempts import is_repeat, send_attempt
from fuchsiagap_node.core.callpath.entry import CallRequest, enter
from fuchsiagap_node.core.callpath.home_tickets import issue_batch
from fuchsiagap_node.core.callpath.relay import relay_to_home
from fuchsiagap_standins.answers import CallMark
from fuchsiagap_standins.bench.faults.conditions import Conditions
from fuchsiagap_standins.bench.faults.evidence import Evidence
from fuchsiagap_standins.bench.faults.fleet import Fleet, open_fleet
from fuchsiagap_standins.bench.faults.run import write_initial_settings
from fuchsiagap_standins.bench.faults.topology import NODES, ROUTES
from fuchsiagap_standins.builders import an_issue_head
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap_node.core.state import NodeState

START_S = 4.0
T = TypeVar("T")


def with_fleet(scenario: Callable[[Fleet], Awaitable[T]]) -> T:
    """Run a scenario on nodes that have joined the fleet and adopted the settings."""

    async def run() -> T:
        async with trio.open_nursery() as nursery:
            fleet = open_fleet(random.Random(1), Conditions(), Evidence(), nursery)
            write_initial_settings(fleet)
            for name, _ in NODES:
                fleet.start(name)
            await trio.sleep(START_S)
            outcome = await scenario(fleet)
            nursery.cancel_scope.cancel()
        return outcome

    return run_virtual(run)


def node(fleet: Fleet, name: str) -> NodeState:
    state = fleet.processes[name].state
    assert state is not None
    return state


def issue_request(home: NodeState) -> CallRequest:
    """Return a request with a ticket of `home`, as sent without the client library."""
    route = ROUTES["certs/issue"]
    tickets = issue_batch(home, 1)
    assert isinstance(tickets, tuple)
    control_headers = {call_headers.TICKET: str(tickets[0])}
    headers = CallMark("n").headers()
    return CallRequest(
        route.service, route.method, route.target, control_headers, headers, b""
    )


async def refuse_all(_head: object) -> Refused:
    return Refused(Reason.OVERLOAD)


class PlainCallerTest(TestCase):
    def test_a_delayed_copy_does_not_run_after_another_was_refused(self):
        async def scenario(fleet: Fleet) -> Outcome:
            req = issue_request(node(fleet, "results-1"))
            gates = [node(fleet, name).gate for name in ("certs-1", "certs-2")]
            original_enters = [gate.enter for gate in gates]
            for gate in gates:
                vars(gate)["enter"] = refuse_all
            refused = await enter(node(fleet, "results-2"), req)
            for gate, original in zip(gates, original_enters, strict=True):
                vars(gate)["enter"] = original
            delayed = await enter(node(fleet, "cycles-1"), req)
            self.assertEqual([], fleet.evidence.runs)
            self.assertIsInstance(delayed, Refused)
            return refused

        self.assertIsInstance(with_fleet(scenario), Refused)

    def test_a_node_without_settings_does_not_report_a_run_as_not_run(self):
        async def scenario(fleet: Fleet) -> Outcome:
            req = issue_request(node(fleet, "results-1"))
            answered = await enter(node(fleet, "results-2"), req)
            self.assertIsInstance(answered, Answered)
            starting = node(fleet, "cycles-1")
            starting.book = SettingsBook()
            return await enter(starting, req)

        self.assertNotIsInstance(with_fleet(scenario), Refused)


class AttemptTest(TestCase):
    def test_the_repeat_of_a_client_is_marked_for_its_children(self):
        async def scenario(fleet: Fleet) -> list[str]:
            seen: list[str] = []

            async def refuse_and_record(head: CallHead) -> Refused:
                seen.append(head.call_id)
                return Refused(Reason.BAD_REQUEST)

            for name in ("results-1", "results-2"):
                vars(node(fleet, name).gate)["enter"] = refuse_and_record
            route = ROUTES["results/report"]
            control_headers = {call_headers.REPEAT: "1"}
            await enter(
                node(fleet, "certs-1"),
                CallRequest(
                    route.service, route.method, route.target, control_headers, (), b""
                ),
            )
            return seen

        self.assertEqual([True], [is_repeat(seen) for seen in with_fleet(scenario)])

    def test_a_refused_child_is_rerun_only_with_allowance(self):
        async def scenario(fleet: Fleet) -> list[type]:
            home = node(fleet, "results-1")
            tickets = issue_batch(home, 1)
            assert isinstance(tickets, tuple)
            gates = [node(fleet, name).gate for name in ("cycles-1", "cycles-2")]
            original_enters = [gate.enter for gate in gates]
            for gate in gates:
                vars(gate)["enter"] = refuse_all
            outcomes = []
            for call_id, allowance in (("a", 0), ("b", 0), ("c", 1)):
                head = an_issue_head(
                    call_id,
                    service=ROUTES["cycles/close"].service,
                    route="cycles/close",
                    parent_id=f"{call_id}~1!",
                    child_key="k",
                    ticket=tickets[0],
                    allowance=allowance,
                    deadline=home.clock.now() + 900.0,
                )
                outcomes.append(type(await relay_to_home(home, head, b"")))
                for gate, original in zip(gates, original_enters, strict=True):
                    vars(gate)["enter"] = original
            return outcomes

        expected = [Refused, Refused, Answered]
        self.assertEqual(expected, with_fleet(scenario))

    def test_an_unanswered_attempt_is_unknown_at_any_deadline(self):
        async def scenario(fleet: Fleet) -> set[type]:
            state = node(fleet, "results-1")

            async def never_reply(*_: object) -> object:
                return await trio.sleep_forever()

            state.peers = SimpleNamespace(ask=never_reply, notify=never_reply, drop=id)
            instance = state.router.choose(ROUTES["certs/issue"].service)
            outcomes = set()
            for step in range(500):
                deadline = state.clock.now() + 0.1 + step * 0.07
                head = an_issue_head(deadline=deadline, allowance=0)
                allowance = Allowance(0)
                outcome = await send_attempt(state, head, b"", instance, allowance)
                outcomes.add(type(outcome))
            return outcomes

        self.assertEqual({Unknown}, with_fleet(scenario))


class LeavingTest(TestCase):
    def test_a_queued_call_is_refused_once_the_node_leaves(self):
        async def scenario(fleet: Fleet) -> Outcome:
            state = node(fleet, "certs-1")
            admit, original_enter = trio.Event(), state.gate.enter

            async def queued(head: CallHead) -> object:
                await admit.wait()
                return await original_enter(head)

            vars(state.gate)["enter"] = queued
            outcomes = []
            async with trio.open_nursery() as nursery:

                async def call() -> None:
                    deadline = state.clock.now() + 5_000.0
                    head = an_issue_head(deadline=deadline)
                    outcomes.append(await state.serve(head, b""))

                nursery.start_soon(call)
                await trio.sleep(0.1)
                state.leaving = True
                admit.set()
            self.assertEqual([], fleet.evidence.runs)
            return outcomes[0]

        outcome = with_fleet(scenario)
        self.assertIsInstance(outcome, Refused)
        self.assertIs(Reason.LEAVING, outcome.reason)
