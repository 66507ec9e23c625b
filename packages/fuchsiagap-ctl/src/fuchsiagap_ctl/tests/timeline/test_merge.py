"""Merging of events from processes with skewed clocks, and rendering of the result."""

from __future__ import annotations

import json
import random

from testtools import TestCase

from fuchsiagap.core.telemetry.events import EventKind, EventRing
from fuchsiagap.core.telemetry.hlc import HybridClock
from fuchsiagap_ctl.timeline.merge import MissingNode, RingContents, Timeline, merge
from fuchsiagap_ctl.timeline.picture import MAX_LANES, TooLarge, render_html, render_svg
from fuchsiagap_ctl.timeline.text import json_lines, text_lines

NOW = 1_800_000_000_000.0


class Relay:
    """Processes with skewed clocks that forward calls to each other."""

    def __init__(self, skews: dict[str, float]) -> None:
        self.time = NOW
        self.clocks = {
            name: HybridClock(lambda s=skew: self.time + s)
            for name, skew in skews.items()
        }
        self.rings = {name: EventRing(name, c) for name, c in self.clocks.items()}

    def send(self, sender: str, receiver: str, call: str) -> None:
        self.rings[sender].record(EventKind.CALL_RELAYED, call, "r1", to=receiver)
        stamp = self.clocks[sender].tick()
        self.time += 0.25
        self.clocks[receiver].observe(stamp)
        self.rings[receiver].record(EventKind.CALL_RECEIVED, call, "r1")

    def timeline(self, missing: tuple[MissingNode, ...] = ()) -> Timeline:
        rings = (RingContents(n, r.since().events) for n, r in self.rings.items())
        return merge(rings, missing)


class TestMerge(TestCase):
    def test_causes_precede_effects_despite_skewed_clocks(self) -> None:
        rng = random.Random(11)
        names = [f"node-{number}" for number in range(6)]
        relay = Relay({name: rng.uniform(-60_000, 60_000) for name in names})
        at, hops = names[0], 300
        for number in range(hops):
            to = rng.choice([name for name in names if name != at])
            relay.send(at, to, f"c{number}")
            at = to
        events = relay.timeline().events
        chain = [(event.call_id, event.kind) for event in events]
        expected = [
            (f"c{number}", kind)
            for number in range(hops)
            for kind in (EventKind.CALL_RELAYED, EventKind.CALL_RECEIVED)
        ]
        self.assertEqual(expected, chain)

    def test_text_is_as_documented(self) -> None:
        relay = Relay({"entry": 5_000.0, "certs-1": 0.0})
        relay.send("entry", "certs-1", "c1")
        relay.rings["certs-1"].record(
            EventKind.CALL_REFUSED, "c1", "r1", reason="overload"
        )
        missing = MissingNode("certs-2", "10.0.0.9:7002", "connection refused")
        lines = list(text_lines(relay.timeline((missing,))))
        self.assertEqual(
            [
                "3 events, 2 processes answered, 2027-01-15 UTC",
                "missing: certs-2 (10.0.0.9:7002) did not answer: connection refused;"
                " its events are not shown",
                "08:00:05.000000     +0.000 ms  entry    call-relayed"
                "         call=c1 root=r1 to=certs-1",
                "08:00:05.000000     +0.000 ms  certs-1  call-received"
                "        call=c1 root=r1",
                "08:00:05.000000     +0.000 ms  certs-1  call-refused"
                "         call=c1 root=r1 reason=overload",
            ],
            lines,
        )

    def test_overwritten_rings_are_named_in_text_and_json(self) -> None:
        timeline = merge(
            [RingContents("node-a", (), overwritten=True), RingContents("node-b", ())]
        )
        self.assertFalse(timeline.complete)
        text = "\n".join(text_lines(timeline))
        self.assertIn("older events of node-a had been overwritten", text)
        (last,) = map(json.loads, json_lines(timeline))
        self.assertEqual(["node-a"], last["overwritten"])
        self.assertEqual(["node-a", "node-b"], last["processes"])


class TestPicture(TestCase):
    def test_picture_has_a_lane_for_each_process_and_names_gaps(self) -> None:
        relay = Relay({"entry": 0.0, "certs-1": 0.0})
        relay.send("entry", "certs-1", "c1")
        missing = MissingNode("certs-2", "10.0.0.9:7002", "timed out")
        timeline = relay.timeline((missing,))
        picture = render_svg(timeline, "call c1")
        assert isinstance(picture, str)
        for expected in (
            "<svg",
            "entry",
            "certs-1",
            "call-relayed",
            "missing: certs-2",
        ):
            self.assertIn(expected, picture)
        self.assertEqual(picture, render_svg(timeline, "call c1"))

    def test_html_escapes_text_from_callers(self) -> None:
        relay = Relay({"entry": 0.0, "certs-1": 0.0})
        relay.send("entry", "certs-1", "<script>x</script>")
        document = render_html(relay.timeline(), "call <b>")
        assert isinstance(document, str)
        self.assertNotIn("<script>", document)
        self.assertNotIn("<b>", document)

    def test_too_many_lanes_are_rejected_with_advice(self) -> None:
        relay = Relay({f"node-{n}": 0.0 for n in range(MAX_LANES + 1)})
        for ring in relay.rings.values():
            ring.record(EventKind.LINK_UP)
        fault = render_svg(relay.timeline(), "since 1h")
        self.assertIsInstance(fault, TooLarge)
        self.assertIn("--call", str(fault))

    def test_empty_timeline_is_rendered(self) -> None:
        self.assertIn("<svg", str(render_svg(merge([]), "call c1")))
