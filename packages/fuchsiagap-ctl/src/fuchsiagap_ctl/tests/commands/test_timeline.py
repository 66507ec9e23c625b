"""Fetching and merging of the events of many nodes; missing events are reported."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from testtools import TestCase

from fuchsiagap.core.telemetry.hlc import stamp_at, wall_of
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.tests.fake_nodes import (
    DATE,
    FakeNodes,
    event_record,
    events_page,
    member_record,
    status_body,
    temp_folder,
)

if TYPE_CHECKING:
    import httpx

START = stamp_at(1_800_000_000_000.0)
RECEIVED = event_record("certs-1", START + 1, "call-received")
ADMITTED = event_record("certs-2", START + 2, "call-admitted")
ANSWERED = event_record("certs-1", START + 3, "call-answered")


class TestTimeline(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.nodes = FakeNodes()
        self.members = [member_record("certs-1"), member_record("certs-2")]
        self.reply_with("certs-1", events_page(RECEIVED, ANSWERED))
        self.reply_with("certs-2", events_page(ADMITTED))

    def reply_with(self, node: str, page: object) -> None:
        self.nodes.add(
            node, GET_status=status_body(node, *self.members), GET_events=page
        )

    def kinds(self) -> list[str]:
        found = [json.loads(line) for line in self.nodes.lines]
        return [one["kind"] for one in found if "kind" in one]

    def test_rings_are_merged_in_order(self) -> None:
        code = self.nodes.run("timeline", "--call=c1", "--json")
        self.assertEqual(ExitCode.DONE, code)
        expected = ["call-received", "call-admitted", "call-answered"]
        self.assertEqual(expected, self.kinds())

    def test_all_pages_are_read(self) -> None:
        def page(req: httpx.Request) -> object:
            if int(req.url.params["after"]) < START + 1:
                return events_page(RECEIVED, more=True)
            return events_page(ANSWERED)

        self.reply_with("certs-1", page)
        self.nodes.run("timeline", "--root=r1", "--json")
        self.assertEqual(3, len(self.kinds()))

    def test_a_node_that_does_not_answer_is_named(self) -> None:
        self.members += [member_record("certs-3"), member_record("certs-4", "dead")]
        self.reply_with("certs-1", events_page(RECEIVED))
        code = self.nodes.run("timeline", "--call=c1")
        self.assertEqual(ExitCode.INCOMPLETE, code)
        text = "\n".join(self.nodes.lines)
        self.assertIn("missing: certs-3 (certs-3:7100) did not answer", text)
        self.assertIn(
            "missing: certs-4 (certs-4:7100) did not answer: it is dead", text
        )

    def test_an_overwritten_ring_is_named(self) -> None:
        self.reply_with("certs-2", events_page(ADMITTED, overwritten=True))
        code = self.nodes.run("timeline", "--call=c1")
        self.assertEqual(ExitCode.INCOMPLETE, code)
        self.assertIn("older events of certs-2", "\n".join(self.nodes.lines))

    def test_unknown_call(self) -> None:
        self.reply_with("certs-1", events_page())
        self.reply_with("certs-2", events_page())
        code = self.nodes.run("timeline", "--call=c9")
        self.assertEqual(ExitCode.NOT_FOUND, code)
        self.assertIn("Idempotency-Key", self.nodes.notes_text)

    def test_since_uses_the_clock_of_the_nodes_if_the_local_one_differs(self) -> None:
        self.nodes.run("timeline", "--since=30s")
        asked = [r for r in self.nodes.requests if r.url.path == "/v1/events"]
        after = wall_of(int(asked[0].url.params["after"]))
        self.assertEqual("Fri, 15 Jan 2027 08:00:05 GMT", DATE)
        self.assertEqual(1_800_000_005_000.0 - 30_000.0, after)

    def test_an_unknown_kind_of_a_newer_node_is_shown(self) -> None:
        self.reply_with(
            "certs-2", events_page(event_record("certs-2", START + 2, "call-frozen"))
        )
        self.nodes.run("timeline", "--call=c1")
        self.assertIn("call-frozen", "\n".join(self.nodes.lines))

    def test_unreachable_data_centre_is_named(self) -> None:
        cut = status_body("certs-1", *self.members, unreachable_data_centres=["hall-b"])
        self.nodes.add("certs-1", GET_status=cut)
        self.nodes.run("timeline", "--call=c1")
        self.assertIn("data centre hall-b is cut off", self.nodes.notes_text)

    def test_pictures_are_written_to_a_file(self) -> None:
        folder = temp_folder(self)
        for name, start in (("a.svg", "<?xml"), ("a.html", "<!doctype html>")):
            path = folder / name
            code = self.nodes.run("timeline", "--call=c1", f"--out={path}")
            self.assertEqual(ExitCode.DONE, code)
            self.assertEqual(start, path.read_text()[: len(start)])
        code = self.nodes.run("timeline", "--call=c1", f"--out={folder}/no/where.svg")
        self.assertEqual(ExitCode.USAGE, code)
