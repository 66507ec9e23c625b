"""Diagnosis of failed requests from log lines of real nodes."""

import json

import trio
from testtools import TestCase

from fuchsiagap.core.quarantine.fingerprint import fingerprint
from fuchsiagap.core.quarantine.quarantine import HeldRequest
from fuchsiagap.core.retries.backend_budget import ServiceRetryLimits
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.explain.diagnosis import diagnose
from fuchsiagap_ctl.explain.log_lines import parse_log
from fuchsiagap_ctl.tests.fake_nodes import FakeNodes, temp_folder
from fuchsiagap_standins.mesh.backend_server import Behaviour, ResponseMode
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_on_loopback

CRASHING_REQUEST = (b"GET", "api.example", b"/read/1", (), b"")
NO_REPEATS = ServiceRetryLimits(0.0, 0.0, 10_000.0)


def lines_of(behaviour, route, act):
    """Return the log lines of a calling and a called node while `act` runs."""

    async def main():
        async with a_deployment(route) as deployment:
            caller = deployment.add("bookings", budget=NO_REPEATS)
            served = deployment.add("certs", budget=NO_REPEATS)
            served.server.behave = lambda _: behaviour
            await deployment.settle()
            await act(caller, served)
            buffers = (caller.node.event_log, served.node.event_log)
            return [
                line.decode() for event_log in buffers for line in event_log.lines()
            ]

    return run_on_loopback(main)


class TestExplain(TestCase):
    def test_unknown_outcome_after_the_link_was_lost(self):
        async def act(caller, served):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(caller.send, "/write/1", "r1")
                await trio.sleep(0.2)
                served.scope.cancel()

        route = a_route("write", idempotent=False)
        diagnosis = diagnose(
            parse_log(lines_of(Behaviour(work=900.0), route, act)).lines, "r1"
        )
        self.assertIn("link to the node", diagnosis.cause)
        self.assertIn("may have run", diagnosis.cause)
        self.assertIn("link-down", [line.event for line in diagnosis.state_changes])

    def test_broken_answer_of_a_backend_server(self):
        async def act(caller, served):
            await caller.send("/read/1", "r1")

        lines = lines_of(Behaviour(ResponseMode.CUT), a_route("read"), act)
        diagnosis = diagnose(parse_log(lines).lines, "r1")
        self.assertIn("broken answer", diagnosis.cause)

    def test_quarantined_request_is_named_as_the_cause(self):
        async def act(caller, served):
            held = HeldRequest(fingerprint(*CRASHING_REQUEST), "certs", 4, 0.0)
            caller.node.reports.handle(held, "certs-1")
            answer = await caller.send("/read/1", "r1")
            self.assertEqual(503, answer.status)
            self.assertEqual([], served.server.heads)

        lines = lines_of(Behaviour(), a_route("read"), act)
        diagnosis = diagnose(parse_log(lines).lines, "r1")
        self.assertIn("requests like it crash servers", diagnosis.cause)
        self.assertIn("crashes=4", diagnosis.cause)

    def test_refused_by_every_server(self):
        async def act(caller, served):
            await caller.send("/read/1", "r1")

        lines = lines_of(Behaviour(ResponseMode.REFUSE), a_route("read"), act)
        diagnosis = diagnose(parse_log(lines).lines, "r1")
        self.assertIn("did not run", diagnosis.cause)

    def test_refusal_at_the_entry_names_the_overloaded_service(self):
        lines = [
            _line(
                1_000, "admission-changed", route="read", service="certs", fullness=1.2
            ),
            _line(2_000, "refused", "r1", route="read", share=0.4, retry_after=250),
        ]
        diagnosis = diagnose(parse_log(lines).lines, "r1")
        self.assertIn("0.4 of its rank", diagnosis.cause)
        self.assertIn("after 250 ms", diagnosis.cause)
        self.assertIn("fullness=1.2", diagnosis.cause)

    def test_refusal_for_lack_of_retry_budget_names_the_budget(self):
        lines = [
            _line(900, "admission-changed", route="read", service="certs"),
            _line(1_000, "coverage-changed", route="read at 2", covered=0.1, age=40),
            _line(
                2_000, "refused", "r1", route="read", share=0.1, cause="retry-budget"
            ),
        ]
        cause = diagnose(parse_log(lines).lines, "r1").cause
        self.assertIn("retry budget covered only a share of 0.1", cause)
        self.assertIn("covered=0.1 age=40", cause)

    def test_refusal_names_a_workspace_only_if_it_was_over_its_share(self):
        for own, is_named in ((0.1, True), (0.4, False), (0.9, False)):
            line = _line(
                2_000, "refused", "r1", share=0.4, workspace="w-1", workspace_share=own
            )
            cause = diagnose(parse_log([line]).lines, "r1").cause
            self.assertEqual(is_named, "w-1 was over its share" in cause, own)

    def test_refusal_at_the_entry_names_the_exhausted_room(self):
        fields = {"route": "read", "room": 120, "demand": 170, "age": 40}
        lines = [
            _line(1_000, "rate-admission-changed", refusing=True, **fields),
            _line(2_000, "refused", "r1", route="read", share=0.7, retry_after=250),
        ]
        cause = diagnose(parse_log(lines).lines, "r1").cause
        self.assertIn("room=120", cause)
        self.assertIn("demand=170", cause)

    def test_only_state_changes_before_the_end_are_causes(self):
        lines = [
            _line(1_000, "link-down", to="n-2"),
            _line(1_100, "link-down", to="n-2"),
            _line(1_200, "link-down", to="n-3"),
            _line(1_300, "backend-changed", state="draining"),
            _line(2_000, "given-up", "r1", cause="no backend server", ran=False),
            _line(2_500, "backend-changed", state="ready"),
        ]
        cause = diagnose(parse_log(lines).lines, "r1").cause
        self.assertNotIn("state=ready", cause)
        for word in ("1100 n-1 link-down to=n-2", "link-down to=n-3", "draining"):
            self.assertIn(word, cause)
        self.assertNotIn("1000 n-1", cause)

    def test_nested_call_is_found_by_its_identifier(self):
        lines = [
            _line(1_000, "given-up", "r1.a", cause="queue full", ran=False),
            _line(1_010, "answered", "r10", arrivals=1),
        ]
        diagnosis = diagnose(parse_log(lines).lines, "r1")
        self.assertEqual(["r1.a"], [line.request for line in diagnosis.call_lines])
        self.assertIn("queue full", diagnosis.cause)

    def test_limit_that_servers_named_is_the_cause(self):
        lines = [
            _line(900, "server-notice", instance="i-1", rate=6.0, leaving=False),
            _line(
                1_000, "given-up", "r1", cause="limit named by the server", ran=False
            ),
        ]
        cause = diagnose(parse_log(lines).lines, "r1").cause
        for text in ("limits of requests per second", "did not run", "server-notice"):
            self.assertIn(text, cause)

    def test_command_writes_the_diagnosis_and_what_is_missing(self):
        path = temp_folder(self) / "all.log"
        lines = [
            "no line of a node",
            "12.5 host-a " + _line(2_000, "given-up", "r1", cause="leaving", ran=False),
            _line(2_100, "answered", "r2", dropped_before=7),
        ]
        path.write_text("\n".join(lines))
        nodes = FakeNodes()
        self.assertEqual(ExitCode.DONE, nodes.run("explain", "r1", str(path)))
        self.assertIn("likely cause: the backend server", "\n".join(nodes.lines))
        self.assertIn("1 lines are not log lines of a node", nodes.notes_text)
        self.assertIn("dropped 7 lines", nodes.notes_text)
        self.assertEqual(ExitCode.NOT_FOUND, nodes.run("explain", "r9", str(path)))
        self.assertEqual(ExitCode.USAGE, nodes.run("explain", "r1", "/nowhere/x"))


def _line(wall, event, request="", **fields):
    """Return a log line in the format of a node."""
    data = {"t": wall, "wall": wall, "node": "n-1", "event": event}
    if request:
        data["request"] = request
    return json.dumps({**data, **fields})


class TestWorkspaces(TestCase):
    def cause_of(self, **fields):
        """Return the cause that is diagnosed from one log line."""
        line = {"t": 1.0, "wall": 1.0, "node": "n", "request": "r1", "route": "read"}
        return diagnose(parse_log([json.dumps(line | fields)]).lines, "r1").cause

    def test_causes_of_key_and_quota_refusals_are_distinguished(self):
        unknown = self.cause_of(event="key-refused", cause="unknown-key", age=90)
        old = self.cause_of(event="key-refused", cause="knowledge-too-old", age=4_800)
        over = self.cause_of(
            event="quota-refused", cause="over", workspace="w", retry_after=250
        )
        lost = self.cause_of(
            event="quota-refused", cause="unknown", workspace="w", retry_after=500
        )
        self.assertIn("no workspace", unknown)
        self.assertIn("4800 ms", old)
        self.assertIn("429", over)
        self.assertIn("250 ms", over)
        self.assertIn("503", lost)
        self.assertEqual(4, len({unknown, old, over, lost}))
