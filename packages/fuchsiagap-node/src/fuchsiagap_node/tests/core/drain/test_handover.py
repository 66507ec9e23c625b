"""Hand-over of tickets at a planned stop; a successor uses only complete windows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.tickets.settings import TicketSettings
from fuchsiagap_node.core.callpath.home import at_home
from fuchsiagap_node.core.callpath.home_tickets import settle_ticket
from fuchsiagap_node.core.drain import takeover
from fuchsiagap_node.core.drain.handover import (
    HandOverCompleted,
    HandOverFailed,
    hand_over,
)
from fuchsiagap_node.core.wire.messages_ticket import (
    HandOverBegin,
    HandOverEnd,
    HandOverPart,
    LateOutcome,
)
from fuchsiagap_node.tests.core.callpath.ticket_case import TicketCase
from fuchsiagap_standins.builders import a_refusal

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap_standins.ticket_nodes import TicketNet

FIRST_RUN_BODY = b"run 1 of "


class HandOverCase(TicketCase):
    cfg = TicketSettings(chunk_bytes=400)

    async def stop(
        self, name: str, successor: str
    ) -> HandOverCompleted | HandOverFailed:
        """Hand the tickets over and stop the node, as a drain does."""
        state = self.node(name)
        state.leaving = True
        result = await hand_over(state, f"{successor}:1")
        if isinstance(result, HandOverCompleted):
            self.net.announce_left(state, result.successor)
            self.net.crash(state)
        return result


class TestHandOver(HandOverCase):
    def test_every_ticket_state_is_handed_over(self) -> None:
        async def scenario(net: TicketNet) -> None:
            answered, unused, burnt = (self.ticket() for _ in range(3))
            others = [self.ticket() for _ in range(10)]
            for ticket in (answered, *others):
                await self.call("a", ticket)
            await self.call("a", unused, child_key="k")
            await settle_ticket(self.node("a"), burnt, 0.0)
            self.assertEqual(HandOverCompleted("b", 1), await self.stop("a", "b"))
            for ticket in (answered, *others):
                outcome = await self.call("c", ticket)
                self.assertEqual(
                    (FIRST_RUN_BODY, True), (outcome.body, outcome.repeated)
                )
                self.assert_runs(1, ticket)
            self.assertTrue((await self.call("b", unused, child_key="k")).repeated)
            self.assertEqual(FIRST_RUN_BODY, (await self.call("c", unused)).body)
            outcome = await self.call("c", burnt)
            self.assertEqual(Reason.TICKET_BURNT, outcome.reason)

        self.run_scenario(scenario)

    def test_the_outcome_of_a_run_in_progress_follows_the_hand_over(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            outcomes: list[Outcome] = []
            self.call_soon(outcomes, "c", ticket)
            await trio.sleep(0.05)
            started = trio.current_time()
            self.assertIsInstance(await self.stop("a", "b"), HandOverCompleted)
            self.assertAlmostEqual(0.05, trio.current_time() - started, places=2)
            self.assertEqual(FIRST_RUN_BODY, (await self.call("c", ticket)).body)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_a_copy_at_the_successor_waits_for_the_run_of_the_old_home(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            outcomes: list[Outcome] = []
            self.call_soon(outcomes, "a", ticket)
            await trio.sleep(0.05)
            net.nursery.start_soon(self.stop, "a", "b")
            await trio.sleep(0.02)
            self.call_soon(outcomes, "b", ticket)
            await trio.sleep(0.2)
            self.assertEqual(
                [FIRST_RUN_BODY, FIRST_RUN_BODY], [outcome.body for outcome in outcomes]
            )
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_a_run_refused_late_may_run_at_the_successor_unless_settled(
        self,
    ) -> None:
        async def runner(head: CallHead, _body: bytes) -> Outcome:
            await trio.sleep(0.1)
            if trio.current_time() < 0.2:
                return a_refusal()
            self.backends.record_run(head)
            return Answered(200, (), b"")

        async def scenario(net: TicketNet) -> None:
            refused, settled = self.ticket(), self.ticket()
            outcomes: list[Outcome] = []
            for ticket in (refused, settled):
                self.call_soon(outcomes, "c", ticket)
            await trio.sleep(0.05)
            net.nursery.start_soon(self.stop, "a", "b")
            await trio.sleep(0.03)
            settlement = await settle_ticket(self.node("a"), settled, 1000.0)
            self.assertIsInstance(settlement, Refused)
            await trio.sleep(1.0)
            self.assertIsInstance(await self.call("c", refused), Answered)
            self.assertIsInstance(await self.call("c", settled), Refused)
            self.assert_runs(0, settled)

        self.run_scenario(scenario, runner)

    def test_a_late_refusal_does_not_undo_a_run_of_the_successor(self) -> None:
        """The outcome arrives when the successor has started a run of its own."""

        async def runner(head: CallHead, _body: bytes) -> Outcome:
            await trio.sleep(0.1)
            if trio.current_time() < 0.2:
                return a_refusal()
            self.backends.record_run(head)
            await trio.sleep(1.0)
            return Answered(200, (), b"")

        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            outcomes: list[Outcome] = []
            self.call_soon(outcomes, "a", ticket)

            async def slow(_address: str, msg: object) -> None:
                if isinstance(msg, (HandOverBegin, LateOutcome)):
                    await trio.sleep(0.2)

            await trio.sleep(0.05)
            net.before_delivery = slow
            net.nursery.start_soon(self.stop, "a", "b")
            await trio.sleep(0.1)
            for entry in ("a", "c", "c"):
                self.call_soon(outcomes, entry, ticket)
                await trio.sleep(0.2)
            await trio.sleep(2.0)
            self.assertEqual(4, len(outcomes))
            self.assert_runs(1, ticket)

        self.run_scenario(scenario, runner)

    def test_a_run_forgotten_during_the_hand_over_is_handed_over(self) -> None:
        """The record is dropped after the pages that mark used tickets were sent."""

        async def runner(head: CallHead, _body: bytes) -> Outcome:
            self.backends.record_run(head)
            await trio.sleep(0.1)
            return Answered(200, (), bytes(self.cfg.max_kept_body + 1))

        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            outcomes: list[Outcome] = []

            async def slow(_address: str, msg: object) -> None:
                if isinstance(msg, HandOverPart) and msg.pages:
                    await trio.sleep(0.2)

            for child_key in ("", "k"):
                self.call_soon(outcomes, "a", ticket, child_key=child_key)
            await trio.sleep(0.05)
            net.before_delivery = slow
            await self.stop("a", "b")
            for child_key in ("", "k"):
                again = await self.call("c", ticket, child_key=child_key)
                self.assertEqual(Reason.TICKET_FORGOTTEN, again.reason)
                self.assert_runs(1, ticket, child_key)

        self.run_scenario(scenario, runner)

    def test_a_copy_during_the_hand_over_is_forwarded(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()

            async def slow(_address: str, msg: object) -> None:
                if isinstance(msg, HandOverEnd):
                    await trio.sleep(0.5)

            net.before_delivery = slow
            net.nursery.start_soon(hand_over, self.node("a"), "b:1")
            await trio.sleep(0.1)
            outcome = await self.call("c", ticket)
            self.assertEqual(FIRST_RUN_BODY, outcome.body)
            self.assertIn(ticket.life, self.node("b").tickets.adopted)

        self.run_scenario(scenario)

    def test_adopted_windows_are_handed_over_again(self) -> None:
        async def scenario(net: TicketNet) -> None:
            used, unused = self.ticket(), self.ticket()
            await self.call("a", used)
            await self.stop("a", "b")
            await net.start("a", incarnation=2)
            net.members["a"] = net.members["a"].__class__(
                "a", 2, "a:2", "hall-a", successor="b", handed_incarnation=1
            )
            self.assertEqual(HandOverCompleted("c", 2), await self.stop("b", "c"))
            for entry in ("a", "c"):
                state = self.net.nodes["a:2" if entry == "a" else "c:1"]
                outcome = await net.call(state, self.head(used))
                self.assertEqual(FIRST_RUN_BODY, outcome.body)
            self.assertEqual(FIRST_RUN_BODY, (await self.call("c", unused)).body)

        self.run_scenario(scenario)


class TestPartialHandOver(HandOverCase):
    def reply_lost_to(self, message_type: type) -> None:
        async def scenario(net: TicketNet) -> None:
            used, unused = self.ticket(), self.ticket()
            await self.call("a", used)
            old = self.node("a")
            net.lose_reply = lambda _address, msg: isinstance(msg, message_type)
            result = await hand_over(old, "b:1")
            self.assertIsInstance(result, HandOverFailed)
            may_try_another = message_type is not HandOverEnd
            self.assertEqual(may_try_another, result.may_try_another)
            net.lose_reply = lambda _address, _msg: False
            answered = self.node("b").tickets.window_of(used) is not None
            self.assertEqual(not may_try_another, answered)
            outcome = await self.call("a", unused)
            self.assertNotIsInstance(outcome, Answered)
            again = await hand_over(old, "c:1")
            self.assertEqual(may_try_another, isinstance(again, HandOverCompleted))
            net.announce_left(old, "c" if may_try_another else "b")
            net.crash(old)
            for ticket in (used, unused):
                self.assertEqual(FIRST_RUN_BODY, (await self.call("c", ticket)).body)
                self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_the_reply_to_the_first_message_is_lost(self) -> None:
        self.reply_lost_to(HandOverBegin)

    def test_the_reply_to_a_part_is_lost(self) -> None:
        self.reply_lost_to(HandOverPart)

    def test_the_reply_to_the_last_message_is_lost(self) -> None:
        self.reply_lost_to(HandOverEnd)

    def test_an_unreachable_or_unresponsive_peer(self) -> None:
        async def never(_address: str, msg: object) -> None:
            if isinstance(msg, HandOverEnd):
                await trio.sleep_forever()

        async def scenario(net: TicketNet) -> None:
            old = self.node("a")
            ticket = self.ticket()
            net.unreachable.add("b:1")
            result = await hand_over(old, "b:1")
            self.assertEqual("b:1 is not reached", result.detail)
            self.assertTrue(result.may_try_another)
            self.assertIsInstance(await self.call("a", ticket), Refused)
            net.before_delivery = never
            result = await hand_over(old, "c:1")
            self.assertFalse(result.may_try_another)
            self.assertIsInstance(await self.call("a", ticket), Unknown)
            self.assert_runs(0, ticket)

        self.run_scenario(scenario)

    def test_an_incomplete_window_is_not_used(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            await self.call("a", ticket)
            old, new = self.node("a"), self.node("b")
            begin = HandOverBegin(ticket.life, 0, 1)
            self.assertEqual("", takeover.begin(new, begin))
            outcome = await self.at("b", ticket)
            self.assertEqual(Reason.TICKET_FORGOTTEN, outcome.reason)
            end = HandOverEnd(ticket.life, n_parts=3)
            self.assertIn("received 0 of 3 parts", takeover.end(new, "a", end))
            self.assertIsInstance(await self.at("b", ticket), Unknown)
            self.assertIsInstance(await hand_over(old, "b:1"), HandOverCompleted)
            self.assertEqual(FIRST_RUN_BODY, (await self.at("b", ticket)).body)

        self.run_scenario(scenario)

    async def at(self, name: str, ticket: Any) -> Outcome:
        """Send a copy of the request to a node as if it were the home."""
        head = self.head(ticket)
        state = self.node(name)
        return await at_home(state, head, b"", self.net.run_of(head, b""))

    def test_parts_out_of_order_end_the_hand_over(self) -> None:
        async def scenario(net: TicketNet) -> None:
            life = self.ticket().life
            new = self.node("b")
            takeover.begin(new, HandOverBegin(life, 0, 1))
            fault = takeover.add_part(new, HandOverPart(life, 1, (), ()))
            self.assertEqual("expected part 0, got 1", fault)
            self.assertNotEqual("", takeover.end(new, "a", HandOverEnd(life, 0)))
            self.assertEqual({}, new.tickets.adopted)

        self.run_scenario(scenario)

    def test_an_old_snapshot_is_not_adopted_again(self) -> None:
        async def scenario(net: TicketNet) -> None:
            ticket = self.ticket()
            new = self.node("b")
            begin = HandOverBegin(ticket.life, 0, 1)
            end = HandOverEnd(ticket.life, 0)
            self.assertEqual("", takeover.begin(new, begin))
            self.assertEqual("", takeover.end(new, "a", end))
            await self.at("b", ticket)
            del new.tickets.adopted[ticket.life]
            self.assertIn("before", takeover.begin(new, begin))
            self.assertIsInstance(await self.at("b", ticket), Unknown)
            self.assert_runs(1, ticket)

        self.run_scenario(scenario)

    def test_a_leaving_peer_accepts_no_hand_over(self) -> None:
        async def scenario(net: TicketNet) -> None:
            self.node("b").leaving = True
            result = await hand_over(self.node("a"), "b:1")
            self.assertEqual(HandOverFailed("b is shutting down too", True), result)

        self.run_scenario(scenario)


class TestAdoptedBounds(HandOverCase):
    cfg = TicketSettings(adopted_windows=1, kept_bytes=2000)

    def test_the_oldest_adopted_window_is_dropped(self) -> None:
        async def scenario(net: TicketNet) -> None:
            first, second = self.ticket("a"), self.ticket("b")
            for ticket, name in ((first, "a"), (second, "b")):
                await self.call(name, ticket)
                await self.stop(name, "c")
            self.assertIsInstance(await self.call("c", first), Unknown)
            self.assertEqual(FIRST_RUN_BODY, (await self.call("c", second)).body)
            self.assert_runs(1, first)

        self.run_scenario(scenario)
