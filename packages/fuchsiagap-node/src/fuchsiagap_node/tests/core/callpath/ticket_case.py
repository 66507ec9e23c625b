"""Base class of tests with several ticket nodes under the virtual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio
from testtools import TestCase

from fuchsiagap.core.tickets.settings import TicketSettings
from fuchsiagap_node.core.callpath.home_tickets import issue_batch
from fuchsiagap_standins.builders import an_issue_head
from fuchsiagap_standins.testing import run_virtual
from fuchsiagap_standins.ticket_nodes import (
    FakeBackends,
    Runner,
    TicketNet,
    counting_runner,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.tickets.ticket import Ticket


class TicketCase(TestCase):
    """Starts nodes ``a``, ``b`` and ``c``; a run takes 100 ms by default."""

    cfg = TicketSettings()

    def run_scenario(
        self,
        scenario: Callable[[TicketNet], Awaitable[None]],
        runner: Runner | None = None,
    ) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                self.backends = FakeBackends(
                    runner or counting_runner(lambda: self.backends, 0.1)
                )
                self.net = TicketNet(self.backends, nursery, self.cfg)
                for name in ("a", "b", "c"):
                    await self.net.start(name)
                await scenario(self.net)
                nursery.cancel_scope.cancel()

        run_virtual(main, limit_s=300.0)

    def node(self, name: str, incarnation: int = 1) -> Any:
        return self.net.nodes[f"{name}:{incarnation}"]

    def ticket(self, name: str = "a", incarnation: int = 1) -> Ticket:
        return issue_batch(self.node(name, incarnation), 1)[0]

    def head(self, ticket: Ticket, timeout: float = 2000.0, **changes: Any) -> CallHead:
        deadline = trio.current_time() * 1000.0 + timeout
        return an_issue_head(ticket=ticket, deadline=deadline, **changes)

    async def call(
        self, entry: str, ticket: Ticket, timeout: float = 2000.0, **changes: Any
    ) -> Outcome:
        head = self.head(ticket, timeout, **changes)
        return await self.net.call(self.node(entry), head)

    def call_soon(
        self, outcomes: list[Outcome], entry: str, ticket: Ticket, **changes: Any
    ) -> None:
        async def task() -> None:
            outcomes.append(await self.call(entry, ticket, **changes))

        self.net.nursery.start_soon(task)

    def assert_runs(self, expected: int, ticket: Ticket, child_key: str = "") -> None:
        self.assertEqual(expected, self.backends.n_runs(ticket, child_key))
