"""A non-idempotent call runs at most once, under repetition and failures of nodes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.violations import Invariant, InvariantViolated
from fuchsiagap_node.core.callpath.home import at_home
from fuchsiagap_node.core.callpath.home_tickets import settle_ticket
from fuchsiagap_node.tests.core.callpath.ticket_case import TicketCase
from fuchsiagap_standins.builders import a_refusal, an_issue_head

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.tickets.ticket import Ticket
    from fuchsiagap_standins.ticket_nodes import TicketNet

FIRST_RUN_BODY = b"run 1 of "


class TestRepeats(TicketCase):
    def test_a_repeat_through_any_node_gets_the_kept_answer(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            for entry, repeated in (("b", False), ("a", True), ("c", True)):
                outcome = await self.call(entry, ticket, allowance=3)
                expected = Answered(
                    200, (), FIRST_RUN_BODY, 3 * repeated, repeated=repeated
                )
                self.assertEqual(expected, outcome)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_concurrent_copies_share_one_run(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            outcomes: list[Outcome] = []
            for entry in ("a", "b", "c", "b"):
                self.call_soon(outcomes, entry, ticket)
            await trio.sleep(1.0)
            self.assertEqual(
                [FIRST_RUN_BODY] * 4, [outcome.body for outcome in outcomes]
            )
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_a_cancelled_caller_does_not_stop_the_run(self) -> None:
        async def scenario(net: TicketNet) -> None:
            for entry in ("a", "b"):
                ticket = self.ticket()
                with trio.move_on_after(0.05):
                    await self.call(entry, ticket)
                outcome = await self.call("c", ticket)
                self.assertEqual(
                    (FIRST_RUN_BODY, True), (outcome.body, outcome.repeated)
                )
                self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_a_copy_waits_no_longer_than_its_own_deadline(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            outcomes: list[Outcome] = []
            self.call_soon(outcomes, "a", ticket)
            await trio.sleep(0.01)
            outcome = await self.call("b", ticket, timeout=20.0)
            self.assertEqual(Reason.TICKET_IN_PROGRESS, outcome.reason)
            await trio.sleep(0.1)
            self.assertEqual([FIRST_RUN_BODY], [outcome.body for outcome in outcomes])

        self.run_scenario(scenario)

    def test_a_lost_answer_is_kept_at_the_home(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            net.lose_reply = lambda address, _msg: address == "a:1"
            outcome = await self.call("b", ticket)
            self.assertEqual(Reason.CONNECTION_LOST, outcome.reason)
            net.lose_reply = lambda _address, _msg: False
            self.assertEqual(FIRST_RUN_BODY, (await self.call("c", ticket)).body)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_the_ticket_of_another_request_runs_nothing(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            await self.call("a", ticket)
            outcome = await self.call("b", ticket, target="/certificates/other")
            self.assertIsInstance(outcome, Unknown)
            self.assertEqual(Reason.BAD_REQUEST, outcome.reason)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)


class TestRefusals(TicketCase):
    def test_a_refused_ticket_can_run_again(self) -> None:
        refusals = [a_refusal(), a_refusal(Reason.NO_BACKEND)]

        async def runner(head: CallHead, _body: bytes) -> Outcome:
            if refusals:
                return refusals.pop(0)
            self.backends.record_run(head)
            return Answered(200, (), b"")

        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            for entry in ("b", "c"):
                self.assertIsInstance(await self.call(entry, ticket), Refused)
            self.assertIsInstance(await self.call("a", ticket), Answered)
            self.assertIsInstance(await self.call("a", ticket), Answered)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario, runner)

    def test_an_unknown_outcome_is_never_run_again(self) -> None:
        async def runner(head: CallHead, _body: bytes) -> Outcome:
            self.backends.record_run(head)
            return Unknown(Reason.CONNECTION_LOST)

        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            for entry in ("a", "b", "a"):
                self.assertIsInstance(await self.call(entry, ticket), Unknown)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario, runner)

    def test_a_run_that_never_ends_becomes_unknown(self) -> None:
        async def runner(head: CallHead, _body: bytes) -> Outcome:
            self.backends.record_run(head)
            await trio.sleep_forever()
            raise AssertionError

        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            self.assertIsInstance(await self.call("a", ticket, 100.0), Unknown)
            await trio.sleep(1.0)
            outcome = await self.call("a", ticket)
            self.assertEqual(Reason.DEADLINE, outcome.reason)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario, runner)

    def test_an_exception_in_the_run_becomes_unknown(self) -> None:
        async def runner(head: CallHead, _body: bytes) -> Outcome:
            self.backends.record_run(head)
            raise ZeroDivisionError

        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            for _ in range(2):
                self.assertIsInstance(await self.call("b", ticket), Unknown)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario, runner)

    def test_without_a_ticket_nothing_runs(self) -> None:
        async def scenario(net: TicketNet) -> None:
            head = an_issue_head(ticket=None, allowance=2)
            run = net.run_of(head, b"")
            outcome = await at_home(self.node("a"), head, b"", run)
            self.assertEqual(Reason.NEEDS_TICKET, outcome.reason)
            self.assertEqual(2, outcome.allowance)
            self.assertEqual({}, self.backends.runs)

        self.run_scenario(scenario)


class TestHomeLost(TicketCase):
    def test_a_crashed_home_gives_unknown_and_its_next_incarnation_runs_nothing(
        self,
    ) -> None:
        async def scenario(net: TicketNet) -> None:
            used, unused = self.ticket(), self.ticket()
            outcomes: list[Outcome] = []
            self.call_soon(outcomes, "b", used)
            await trio.sleep(0.05)
            net.crash(self.node("a"))
            await trio.sleep(0.1)
            self.assertIsInstance(outcomes[0], Unknown)
            self.assertIsInstance(await self.call("c", used), Unknown)
            await net.start("a", incarnation=2)
            for ticket in (used, unused):
                outcome = await self.call("c", ticket)
                self.assertEqual(Reason.TICKET_FORGOTTEN, outcome.reason)
            self.assert_runs(1, used)
            self.assert_runs(0, unused)

        self.run_scenario(scenario)

    def test_an_unreachable_home_is_never_reported_as_not_run(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            await self.call("a", ticket)
            net.unreachable.add("a:1")
            outcome = await self.call("b", ticket)
            self.assertEqual(Reason.HOME_GONE, outcome.reason)
            self.assertIsInstance(outcome, Unknown)
            net.unreachable.clear()
            self.assertEqual(FIRST_RUN_BODY, (await self.call("b", ticket)).body)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_a_copy_delayed_by_a_paused_node_runs_once(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()

            async def hold(_address: str, _msg: object) -> None:
                if trio.current_time() < 0.01:
                    await trio.sleep(30.0)

            net.before_delivery = hold
            outcomes: list[Outcome] = []
            self.call_soon(outcomes, "b", ticket)
            await trio.sleep(0.02)
            self.assertEqual(FIRST_RUN_BODY, (await self.call("c", ticket)).body)
            await trio.sleep(31.0)
            self.assertEqual([True], [outcome.repeated for outcome in outcomes])
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_a_ticket_of_an_unknown_node_has_no_home(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = replace(self.ticket(), node="nowhere")
            outcome = await self.call("a", ticket)
            self.assertEqual(Reason.HOME_GONE, outcome.reason)

        self.run_scenario(scenario)


class TestChildren(TicketCase):
    def test_a_repeated_parent_gets_the_kept_outcome_of_its_child(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            child = {"child_key": "dakar/desk:desk/order#0", "depth": 2}
            first = await self.call("b", ticket, **child)
            again = await self.call("c", ticket, **child)
            self.assertEqual((FIRST_RUN_BODY, FIRST_RUN_BODY), (first.body, again.body))
            other = await self.call("c", ticket, child_key="dakar/desk:desk/order#1")
            self.assertFalse(other.repeated)
            for n in (0, 1):
                self.assert_runs(1, ticket, f"dakar/desk:desk/order#{n}")

        self.run_scenario(scenario)

    def test_a_child_does_not_run_if_the_home_of_its_root_crashed(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            net.crash(self.node("a"))
            outcome = await self.call("b", ticket, child_key="k")
            self.assertIsInstance(outcome, Unknown)
            self.assert_runs(0, ticket, "k")

        self.run_scenario(scenario)


class TestInvariant(TicketCase):
    def test_a_second_start_of_a_ticket_is_a_violation(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            await self.call("a", ticket)
            window = self.node("a").tickets.own
            window.used.discard(ticket.sequence)
            del window.records[ticket.sequence]
            await self.call("a", ticket)

        fault = self.assertRaises(ExceptionGroup, self.run_scenario, scenario)
        self.assertIsNotNone(fault.subgroup(InvariantViolated))
        self.assertIn(Invariant.TICKET_STARTED_TWICE.value, repr(fault.exceptions))

    def test_a_started_ticket_reported_as_burnt_is_a_violation(self) -> None:
        def ask_again(ticket: Ticket) -> Awaitable[Outcome]:
            return self.call("a", ticket)

        def settle(ticket: Ticket) -> Awaitable[Outcome]:
            return settle_ticket(self.node("a"), ticket, 0.0)

        for ask in (ask_again, settle):

            async def scenario(
                net: TicketNet, ask: Callable[[Ticket], Awaitable[Outcome]] = ask
            ) -> None:
                ticket = self.ticket()
                await self.call("a", ticket)
                window = self.node("a").tickets.own
                window.burnt.add(ticket.sequence)
                del window.records[ticket.sequence]
                await ask(ticket)

            fault = self.assertRaises(ExceptionGroup, self.run_scenario, scenario)
            self.assertIsNotNone(fault.subgroup(InvariantViolated))
            self.assertIn(Invariant.FALSE_NOT_RUN.value, repr(fault.exceptions))


class TestEvents(TicketCase):
    def test_events_of_a_ticket(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            await self.call("a", ticket, root_id=str(ticket))
            await self.call("a", ticket, root_id=str(ticket))
            self.assertEqual(
                [
                    EventKind.TICKETS_ISSUED,
                    EventKind.TICKET_STARTED,
                    EventKind.TICKET_KEPT,
                    EventKind.TICKET_REPEATED,
                ],
                self.kinds(ticket),
            )
            unused = self.ticket()
            await settle_ticket(self.node("a"), unused, 0.0)
            kinds = [EventKind.TICKETS_ISSUED, EventKind.TICKET_BURNT]
            self.assertEqual(kinds, self.kinds(unused))

        self.run_scenario(scenario)

    def test_a_refused_run_keeps_nothing(self) -> None:
        async def refuse(_head: CallHead, _body: bytes) -> Outcome:
            return a_refusal(Reason.OVERLOAD)

        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            await self.call("a", ticket, root_id=str(ticket))
            kinds = [EventKind.TICKETS_ISSUED, EventKind.TICKET_STARTED]
            self.assertEqual(kinds, self.kinds(ticket))

        self.run_scenario(scenario, refuse)

    def kinds(self, ticket: Ticket) -> list[EventKind]:
        page = self.node("a").telemetry.ring.since(root=str(ticket))
        return [event.kind for event in page.events]
