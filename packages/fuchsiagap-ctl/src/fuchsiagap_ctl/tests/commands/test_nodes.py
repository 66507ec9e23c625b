"""Commands about nodes and tickets, with nodes that are up, down or leaving."""

from __future__ import annotations

import httpx
from testtools import TestCase

from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.tests.fake_nodes import FakeNodes, member_record, status_body

CERTS_1 = member_record("certs-1")
CERTS_2 = member_record("certs-2", "leaving")
GONE = member_record("certs-3", "dead")


class TestStatus(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.nodes = FakeNodes()
        members = (CERTS_1, CERTS_2, GONE)
        self.nodes.add("certs-1", GET_status=status_body("certs-1", *members))

    def test_text_is_as_documented(self) -> None:
        level = {"route": "certs", "level_priority": 4, "level_cohort": 63}
        busy = {
            "levels": [level],
            "backend": {"in_flight": 32, "queued": 12, "limit": 32},
            "platform": {"up": False},
        }
        self.nodes.add("certs-2", GET_status=status_body("certs-2", **busy))
        self.assertEqual(ExitCode.DONE, self.nodes.run("status"))
        self.assertEqual(
            [
                "platform: up for 1 nodes, down for 1; they go on without it",
                "",
                "data centre  service         node     state    in flight  limit"
                "  queued  admitted               settings",
                "hall-a       salt-fog/certs  certs-1  alive            3     32"
                "       0  all                    salt-fog:7",
                "hall-a       salt-fog/certs  certs-2  leaving         32     32"
                "      12  priority 4, cohort 63  salt-fog:7",
                "hall-a       salt-fog/certs  certs-3  dead             ?      ?"
                "       ?  ?                      ?",
            ],
            self.nodes.lines,
        )

    def test_unresponsive_node_is_named(self) -> None:
        self.assertEqual(ExitCode.INCOMPLETE, self.nodes.run("status"))
        self.assertIn(
            "certs-2 (certs-2:7100) did not answer: connection refused",
            self.nodes.lines,
        )
        self.nodes.run("status", "--json")
        shown = {one["node"]: one["status"] for one in self.nodes.json["nodes"]}
        self.assertIsNone(shown["certs-2"])
        self.assertEqual(32, shown["certs-1"]["backend"]["limit"])

    def test_views_of_partitioned_data_centres_are_merged(self) -> None:
        self.nodes.add("certs-2", GET_status=status_body("certs-2"))
        seen = member_record("bookings-1", services=["bookings"])
        lost = member_record("certs-1", "dead")
        there = status_body("bookings-1", unreachable_data_centres=["hall-a"])
        there["members"] = {
            "hall-b": {"salt-fog": [seen]},
            "hall-a": {"salt-fog": [lost]},
        }
        self.nodes.add("bookings-1", GET_status=there)
        nodes = ("certs-1", "bookings-1")
        self.assertEqual(ExitCode.DONE, self.nodes.run("status", nodes=nodes))
        text = "\n".join(self.nodes.lines)
        self.assertIn("cut off from some nodes: hall-a", text)
        self.assertIn("certs-1     alive", text)
        self.assertIn("hall-b       salt-fog/bookings  bookings-1", text)

    def test_filters_by_team_and_data_centre(self) -> None:
        self.nodes.run("status", "--data-centre=hall-b")
        self.assertNotIn("certs-1", "".join(self.nodes.lines))
        self.nodes.run("status", "--team=salt-fog")
        self.assertIn("certs-1", "".join(self.nodes.lines))


class TestDrain(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.nodes = FakeNodes()

    def drain(self, state: str, calls: list[int], *flags: str) -> ExitCode:
        """Drain certs-2, which reports these numbers of calls and ends in `state`."""
        before = status_body("certs-1", CERTS_1, member_record("certs-2"))
        after = status_body("certs-1", CERTS_1, member_record("certs-2", state))
        self.nodes.add("certs-1", GET_status=[before, after])
        busy = [{"calls": {"serving": n, "entered": 0}} for n in calls]
        stopped = httpx.ConnectError("connection refused")
        replies: list[object] = [status_body("certs-2", **one) for one in busy]
        self.nodes.add("certs-2", GET_status=[*replies, stopped])
        self.nodes.add("certs-2", POST_drain=(202, {"draining": True}))
        return self.nodes.run("drain", "certs-2", *flags)

    def test_waits_until_it_has_left_and_shows_its_calls(self) -> None:
        self.assertEqual(ExitCode.DONE, self.drain("left", [2, 0]))
        self.assertEqual(["certs-2: left"], self.nodes.lines)
        self.assertIn("2 calls in progress at certs-2", self.nodes.notes)

    def test_unannounced_end_of_a_drained_node_is_incomplete(self) -> None:
        self.assertEqual(ExitCode.INCOMPLETE, self.drain("dead", [0]))
        self.assertIn("have not heard that it left", self.nodes.notes_text)

    def test_drain_that_exceeds_the_wait_times_out(self) -> None:
        code = self.drain("leaving", [5] * 100, "--wait=30ms")
        self.assertEqual(ExitCode.TIMED_OUT, code)
        self.assertIn("still draining", self.nodes.notes_text)

    def test_unknown_node_and_wrong_token(self) -> None:
        self.nodes.add("certs-1", GET_status=status_body("certs-1", CERTS_1))
        self.assertEqual(ExitCode.NOT_FOUND, self.nodes.run("drain", "certs-9"))
        refused = (403, {"detail": "not that of the operators", "next": "use it"})
        self.nodes.add("certs-1", POST_drain=refused)
        self.assertEqual(ExitCode.NOT_ALLOWED, self.nodes.run("drain", "certs-1"))
        self.assertIn("next: use it", self.nodes.notes_text)


class TestTicket(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.nodes = FakeNodes()
        self.path = {"ticket": "n1.1f.a", "node": "n1"}

    def home(self, **reply: str) -> ExitCode:
        self.nodes.add("certs-1", **{"GET_tickets_n1.1f.a": {**self.path, **reply}})
        return self.nodes.run("ticket", "n1.1f.a")

    def test_home(self) -> None:
        code = self.home(home="elsewhere", address="10.0.0.1:7000")
        self.assertEqual(ExitCode.DONE, code)
        self.assertIn("its home is the node at 10.0.0.1:7000", self.nodes.lines[0])
        self.assertEqual(ExitCode.NOT_FOUND, self.home(home="gone", reason="home-gone"))

    def test_malformed_ticket_is_not_sent(self) -> None:
        self.assertEqual(ExitCode.USAGE, self.nodes.run("ticket", "nonsense"))
        self.assertEqual([], self.nodes.requests)
        self.assertIn("NODE.INCARNATION.SEQUENCE", self.nodes.notes_text)

    def test_settle_requires_yes_since_it_may_burn_the_ticket(self) -> None:
        words = ["ticket", "settle", "n1.1f.a", "POST", "/salt-fog/certs/issue"]
        self.assertEqual(ExitCode.USAGE, self.nodes.run(*words))
        self.assertEqual([], self.nodes.requests)
        reply = {"ticket": "n1.1f.a", "outcome": "answered"}
        reply |= {"status": 200, "body_bytes": 17}
        self.nodes.add("certs-1", **{"POST_tickets_n1.1f.a_settle": reply})
        self.assertEqual(ExitCode.DONE, self.nodes.run(*words, "--yes"))
        self.assertEqual(
            ["ticket n1.1f.a: answered with status 200, 17 bytes"], self.nodes.lines
        )
        unknown = {"ticket": "n1.1f.a", "outcome": "unknown"}
        unknown |= {"reason": "home-gone", "detail": "restarted"}
        self.nodes.add("certs-1", **{"POST_tickets_n1.1f.a_settle": unknown})
        self.assertEqual(ExitCode.INCOMPLETE, self.nodes.run(*words, "--yes"))


class TestTop(TestCase):
    def test_rates_between_two_refreshes_with_the_busiest_first(self) -> None:
        nodes = FakeNodes()
        status = status_body("certs-1", CERTS_1, member_record("certs-2"))
        busy = status_body("certs-2", backend={"in_flight": 9, "queued": 4, "limit": 9})
        line = (
            "# TYPE fuchsiagap_events_total counter\n"
            'fuchsiagap_events_total{{kind="call-admitted"}} {}\n'
        )
        texts = [line.format(100), line.format(150)]
        nodes.add("certs-1", GET_status=status, GET_metrics=texts)
        nodes.add("certs-2", GET_status=busy, GET_metrics="")
        words = ["top", "--json", "--count=2", "--interval=10ms"]
        self.assertEqual(ExitCode.DONE, nodes.run(*words))
        self.assertEqual(2, len(nodes.lines))
        nodes.lines.pop(0)
        first, second = nodes.json["nodes"]
        self.assertEqual(("certs-2", "certs-1"), (first["node"], second["node"]))
        self.assertEqual(0.0, first["per_second"]["call-admitted"])
        self.assertGreater(second["per_second"]["call-admitted"], 0.0)

    def test_unresponsive_node_is_named(self) -> None:
        nodes = FakeNodes()
        status = status_body("certs-1", CERTS_1, member_record("certs-2"))
        nodes.add("certs-1", GET_status=status, GET_metrics="")
        self.assertEqual(ExitCode.INCOMPLETE, nodes.run("top", "--count=1"))
        self.assertIn("no answer from certs-2", nodes.lines)
