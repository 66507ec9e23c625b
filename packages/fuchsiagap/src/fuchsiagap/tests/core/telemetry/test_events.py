"""Tests that the event ring is bounded and reports overwritten events."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.telemetry.events import EventKind, EventRing
from fuchsiagap.core.telemetry.hlc import HybridClock


def _ring(size: int) -> EventRing:
    return EventRing("node-a", HybridClock(lambda: 1_000.0), size)


class TestEventRing(TestCase):
    def test_event_has_the_recorded_values(self) -> None:
        ring = _ring(4)
        ring.record(EventKind.CALL_REFUSED, "c1", "r1", reason="overload", level=3)
        (event,) = ring.since().events
        self.assertEqual("node-a", event.process)
        self.assertEqual(EventKind.CALL_REFUSED, event.kind)
        self.assertEqual(("c1", "r1"), (event.call_id, event.root_id))
        self.assertEqual({"reason": "overload", "level": 3}, event.detail)

    def test_overwriting_is_reported_only_for_the_requested_range(self) -> None:
        ring = _ring(3)
        for number in range(5):
            ring.record(EventKind.LINK_UP, number=number)
        page = ring.since()
        self.assertEqual([2, 3, 4], [e.detail["number"] for e in page.events])
        self.assertTrue(page.overwritten)
        self.assertFalse(ring.since(page.events[0].stamp).overwritten)
        self.assertEqual(5, ring.counts[EventKind.LINK_UP])

    def test_call_events_do_not_overwrite_state_changes(self) -> None:
        ring = _ring(3)
        ring.record(EventKind.PLATFORM_DOWN)
        for number in range(5):
            ring.record(EventKind.CALL_RECEIVED, f"c{number}", "r1")
        ring.record(EventKind.PLATFORM_UP)
        kinds = [event.kind for event in ring.since().events]
        self.assertEqual(EventKind.PLATFORM_DOWN, kinds[0])
        self.assertEqual(EventKind.PLATFORM_UP, kinds[-1])
        self.assertEqual(5, len(kinds))
        self.assertTrue(ring.since().overwritten)

    def test_consecutive_pages_contain_all_events(self) -> None:
        ring = _ring(10)
        for number in range(7):
            ring.record(EventKind.LINK_UP, number=number)
        numbers: list[object] = []
        after, more = 0, True
        while more:
            page = ring.since(after, limit=3)
            numbers += [e.detail["number"] for e in page.events]
            after, more = page.events[-1].stamp, page.more
        self.assertEqual(list(range(7)), numbers)

    def test_events_are_selected_by_call_and_root(self) -> None:
        ring = _ring(10)
        ring.record(EventKind.CALL_RECEIVED, "c1", "r1")
        ring.record(EventKind.CALL_RECEIVED, "c2", "r1")
        ring.record(EventKind.CALL_RECEIVED, "c3", "r2")
        self.assertEqual(["c2"], [e.call_id for e in ring.since(call="c2").events])
        self.assertEqual(
            ["c1", "c2"], [e.call_id for e in ring.since(root="r1").events]
        )
