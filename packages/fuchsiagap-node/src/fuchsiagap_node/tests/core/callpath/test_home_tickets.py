"""Settlement of tickets: a request reported as not run never runs later."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.tickets.records import NotIssued
from fuchsiagap_node.core.callpath.home_tickets import (
    issue_batch,
    issue_private_ticket,
    settle,
    settle_ticket,
)
from fuchsiagap_node.tests.core.callpath.ticket_case import TicketCase

if TYPE_CHECKING:
    from fuchsiagap_standins.ticket_nodes import TicketNet


class TestSettle(TicketCase):
    def test_a_copy_after_settlement_does_not_run(self) -> None:
        async def scenario(net: TicketNet) -> None:
            for asked in ("a", "b"):
                ticket = self.ticket()
                settlement = await settle_ticket(self.node(asked), ticket, 100.0)
                self.assertEqual(Reason.TICKET_BURNT, settlement.reason)
                self.assertIsInstance(settlement, Refused)
                late = await self.call("c", ticket)
                self.assertEqual(Reason.TICKET_BURNT, late.reason)
                self.assert_runs(0, ticket)

        self.run_scenario(scenario)

    def test_settlement_waits_for_a_run_up_to_the_given_time(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            outcomes: list[Outcome] = []
            self.call_soon(outcomes, "b", ticket)
            await trio.sleep(0.05)
            settlement = await settle_ticket(self.node("c"), ticket, 10.0)
            self.assertEqual(Reason.TICKET_IN_PROGRESS, settlement.reason)
            settlement = await settle_ticket(self.node("c"), ticket, 1000.0)
            self.assertIsInstance(settlement, Answered)
            self.assertTrue(settlement.repeated)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_an_unreachable_home_gives_unknown(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            net.unreachable.add("a:1")
            settlement = await settle_ticket(self.node("b"), ticket, 100.0)
            self.assertIsInstance(settlement, Unknown)
            net.unreachable.clear()
            net.lose_reply = lambda _address, _msg: True
            self.assertIsInstance(
                await settle_ticket(self.node("b"), ticket, 100.0), Unknown
            )
            net.lose_reply = lambda _address, _msg: False
            self.assertIsInstance(await self.call("c", ticket), Refused)

        self.run_scenario(scenario)

    def test_an_idempotent_request_cannot_be_settled(self) -> None:
        async def scenario(net: TicketNet) -> None:
            node = self.node("a")
            routes = {"/panels": SimpleNamespace(idempotent=True)}
            routes["/issue"] = SimpleNamespace(idempotent=False)
            node.book = SimpleNamespace(route_for=lambda _s, _m, t: routes.get(t))
            for path, expected in (
                ("/salt-fog/certs/panels", Unknown),
                ("/salt-fog/certs/none", Unknown),
                ("/salt-fog/certs/issue", Refused),
            ):
                ticket = self.ticket()
                settlement = await settle(node, ticket, "POST", path, 100.0)
                self.assertIsInstance(settlement, expected)
                burnt = isinstance(await self.call("b", ticket), Refused)
                self.assertEqual(expected is Refused, burnt)

        self.run_scenario(scenario)


class TestIssue(TicketCase):
    def test_a_leaving_node_issues_no_tickets(self) -> None:
        async def scenario(net: TicketNet) -> None:
            node = self.node("a")
            self.assertEqual(3, len(issue_batch(node, 3)))
            node.leaving = True
            self.assertIsInstance(issue_batch(node, 3), NotIssued)

        self.run_scenario(scenario)

    def test_the_entry_node_is_the_home_of_a_root_without_a_ticket(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = issue_private_ticket(self.node("b"))
            assert ticket is not None
            for entry in ("a", "c"):
                outcome = await self.call(entry, ticket, child_key="k")
                self.assertEqual(b"run 1 of ", outcome.body)
            self.assertEqual(ticket.node, "b")

        self.run_scenario(scenario)
