"""Events for changes of state, and gauges."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from testtools import TestCase

from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Gauge
from fuchsiagap_node.core import state_events
from fuchsiagap_standins.builders import a_load, a_service
from fuchsiagap_standins.settings_fleet import SettingsFleet, open_settings_fleet
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_node.core.state import NodeState

ROUTE = "certs"


class TestStateEvents(TestCase):
    def with_node(
        self, use: Callable[[SettingsFleet, NodeState], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            async with open_settings_fleet(seed=8) as fleet:
                state = fleet.add("certs-1")
                state_events.register(state)
                fleet.nursery.start_soon(state_events.run, state)
                await use(fleet, state)

        run_virtual(run)

    def kinds(self, state: NodeState, *kinds: EventKind) -> list[EventKind]:
        events = state.telemetry.ring.since().events
        return [event.kind for event in events if event.kind in kinds]

    def test_overload_starts_once_and_ends_after_a_delay(self) -> None:
        kinds = (EventKind.OVERLOAD_STARTED, EventKind.OVERLOAD_ENDED)

        async def use(fleet: SettingsFleet, state: NodeState) -> None:
            downstream = a_service("results")
            state.gate.record_downstream_load(
                ROUTE, downstream, a_load(level_priority=2)
            )
            await trio.sleep(1.5)
            self.assertEqual([EventKind.OVERLOAD_STARTED], self.kinds(state, *kinds))
            full = a_load(level_priority=9, level_cohort=127)
            for _ in range(100):
                state.gate.record_downstream_load(ROUTE, downstream, full)
                await trio.sleep(0.1)
            await trio.sleep(2 * state_events.OVERLOAD_END_DELAY_MS / 1000)
            self.assertEqual(list(kinds), self.kinds(state, *kinds))
            levels = self.kinds(state, EventKind.LEVEL_CHANGED)
            self.assertGreaterEqual(len(levels), 2)

        self.with_node(use)

    def test_a_member_is_recorded_only_when_its_state_changes(self) -> None:
        async def use(fleet: SettingsFleet, state: NodeState) -> None:
            fleet.add("certs-2", first=["certs-1:7000"])
            await trio.sleep(10)
            fleet.crash("certs-2")
            await trio.sleep(60)
            events = state.telemetry.ring.since().events
            states = [
                event.detail["state"]
                for event in events
                if event.kind is EventKind.MEMBER_CHANGED
                and event.detail["node"] == "certs-2"
            ]
            self.assertEqual(["alive", "suspect", "dead"], states)

        self.with_node(use)

    def test_gauges_are_set_when_they_are_read(self) -> None:
        async def use(fleet: SettingsFleet, state: NodeState) -> None:
            fleet.add("certs-2", first=["certs-1:7000"])
            await trio.sleep(10)
            metrics = state.telemetry.metrics
            gauges = {(gauge, label): value for gauge, label, value in metrics.gauges()}
            self.assertEqual(2, gauges[Gauge.MEMBERS, "alive"])
            self.assertEqual(0, gauges[Gauge.MEMBERS, "dead"])
            self.assertEqual(state.gate.limit, gauges[Gauge.LIMIT, ""])
            self.assertEqual(10.0, gauges[Gauge.LEVEL, ROUTE])
            self.assertGreaterEqual(gauges[Gauge.LINKS, ""], 1)

        self.with_node(use)
