"""The client reports outcomes correctly and retries only where that is safe."""

from __future__ import annotations

import itertools
import json
import random
from dataclasses import replace
from typing import Any

import httpx
import trio
from testtools import TestCase

from fuchsiagap import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.calls import call_headers
from fuchsiagap_client import ClientSettings, Request, open_client
from fuchsiagap_client.tests.fake_nodes import (
    FakeNodes,
    Reply,
    answered,
    refused,
    unknown,
)
from fuchsiagap_standins.testing import run_virtual

N1, N2, N3 = "10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"
ISSUE = Request("POST", "/salt-fog/certs/issue?panel=17", b"{}", priority=2)
READ = Request("GET", "/salt-fog/certs/17")


class ClientCase(TestCase):
    cfg = ClientSettings(nodes=(N1, N2, N3), timeout=5000.0, allowance=6)

    def run_client(
        self, nodes: FakeNodes, *reqs: Request, **changes: Any
    ) -> list[Outcome]:
        async def main() -> list[Outcome]:
            cfg = replace(self.cfg, **changes)
            rng = random.Random(1)
            async with open_client(cfg, nodes.transport(), rng) as client:
                return [await client.send(req) for req in reqs]

        return run_virtual(main, limit_s=100.0)

    def send(self, nodes: FakeNodes, req: Request = ISSUE, **changes: Any) -> Outcome:
        return self.run_client(nodes, req, **changes)[0]

    def assert_one_ticket(self, nodes: FakeNodes) -> None:
        self.assertEqual(1, len({sent.ticket for sent in nodes.calls}))


class TestSingleAttempt(ClientCase):
    def test_complete_request_is_sent_to_the_issuer_of_its_ticket(self) -> None:
        nodes = FakeNodes([answered(b"cert", 201, etag="7")])
        outcome = self.send(nodes)
        headers = (("content-length", "4"), ("etag", "7"))
        self.assertEqual((201, b"cert", headers), astuple(outcome))
        (sent,) = nodes.calls
        self.assertEqual((N1, "POST", ISSUE.path), (sent.node, sent.method, sent.path))
        self.assertEqual("10-0-0-1.1.0", sent.ticket)
        sent_headers = {name: sent.headers[name] for name in CLIENT_HEADERS}
        expected = {"fuchsiagap-deadline-ms": "4800", "fuchsiagap-allowance": "3"}
        expected |= {"fuchsiagap-priority": "2", call_headers.REPEAT: "0"}
        self.assertEqual(expected, sent_headers)
        self.assertEqual(b"{}", sent.body)

    def test_tickets_are_fetched_in_batches_and_used_once(self) -> None:
        nodes = FakeNodes([answered()])
        self.run_client(nodes, *[READ] * 10, ticket_batch=4)
        self.assertEqual(3, nodes.n_batches)
        self.assertEqual(10, len({sent.ticket for sent in nodes.calls}))

    def test_expired_tickets_are_discarded(self) -> None:
        nodes = FakeNodes([replace(answered(), delay_s=1.0)])
        self.run_client(nodes, *[READ] * 3, ticket_age=1500.0)
        self.assertEqual(2, nodes.n_batches)

    def test_incomplete_response_is_an_unknown_outcome(self) -> None:
        whole = answered(b"whole")
        truncated = replace(whole, body=b"who")
        without_length = replace(whole, headers={call_headers.OUTCOME: "answered"})
        without_outcome = replace(whole, headers={"content-length": "5"})
        for reply in (truncated, without_length, without_outcome):
            outcome = self.send(FakeNodes([reply]), allowance=0)
            self.assertIsInstance(outcome, Unknown)
            self.assertEqual(Reason.INCOMPLETE_ANSWER, outcome.reason)

    def test_only_safe_requests_are_sent_without_a_ticket(self) -> None:
        nodes = FakeNodes([answered()], tickets=refused(Reason.OVERLOAD))
        self.assertEqual(Reason.NEEDS_TICKET, self.send(nodes).reason)
        self.assertEqual([], nodes.calls)
        self.assertIsInstance(self.send(nodes, READ), Answered)
        self.assertEqual("", nodes.calls[0].ticket)

    def test_invalid_settings_list_every_fault(self) -> None:
        self.cfg = ClientSettings(nodes=("here",), timeout=0.0)
        fault = self.assertRaises(ValueError, self.send, FakeNodes([]))
        self.assertIn("nodes: got 'here', expected IP:PORT; timeout", str(fault))


CLIENT_HEADERS = (
    "fuchsiagap-deadline-ms",
    "fuchsiagap-allowance",
    "fuchsiagap-priority",
    call_headers.REPEAT,
)


def astuple(outcome: Outcome) -> tuple[int, bytes, Any]:
    assert isinstance(outcome, Answered), outcome
    return outcome.status, outcome.body, outcome.headers


class TestRetries(ClientCase):
    def test_lost_answer_is_retried_through_another_node(self) -> None:
        nodes = FakeNodes([httpx.ReadError, answered(fuchsiagap_repeated="1")])
        outcome = self.send(nodes, ticket_batch=1)
        self.assertTrue(outcome.repeated)
        (sent,) = nodes.calls
        self.assertEqual((N2, "1"), (sent.node, sent.headers[call_headers.REPEAT]))
        self.assertEqual("10-0-0-1.1.0", sent.ticket)

    def test_refused_request_is_retried_after_retry_after(self) -> None:
        wait = {call_headers.RETRY_AFTER: "700"}
        busy = refused(Reason.OVERLOAD, **wait)
        nodes = FakeNodes([busy, busy, answered()])
        self.assertIsInstance(self.send(nodes), Answered)
        times = [sent.at_s for sent in nodes.calls]
        for early, late in itertools.pairwise(times):
            self.assertTrue(0.7 <= late - early <= 1.4, times)
        self.assert_one_ticket(nodes)
        self.assertEqual("0", nodes.calls[-1].headers[call_headers.REPEAT])

    def test_no_retry_that_would_miss_the_deadline(self) -> None:
        busy = refused(Reason.OVERLOAD, **{"retry-after": "9"})
        nodes = FakeNodes([busy])
        outcome = self.send(nodes)
        self.assertEqual(
            (Reason.OVERLOAD, 9000.0), (outcome.reason, outcome.retry_after)
        )
        self.assertEqual(1, len(nodes.calls))

    def test_retries_stay_within_the_allowance(self) -> None:
        for allowance in (0, 1, 3, 8):
            nodes = FakeNodes([refused(Reason.OVERLOAD)])
            self.assertIsInstance(self.send(nodes, allowance=allowance), Refused)
            shares = [int(sent.headers[CLIENT_HEADERS[1]]) for sent in nodes.calls]
            self.assertEqual(allowance, sum(shares) + len(shares) - 1)

    def test_allowance_returned_by_nodes_is_used(self) -> None:
        back = {call_headers.ALLOWANCE: "1"}
        nodes = FakeNodes([refused(Reason.OVERLOAD, **back)])
        self.send(nodes, allowance=3)
        self.assertEqual(4, len(nodes.calls))

    def test_permanent_refusals_are_not_retried(self) -> None:
        for reason in (Reason.NO_ROUTE, Reason.REFUSED_BELOW, Reason.BAD_REQUEST):
            nodes = FakeNodes([refused(reason), answered()])
            self.assertEqual(reason, self.send(nodes).reason)

    def test_unreachable_nodes_are_avoided(self) -> None:
        nodes = FakeNodes([answered()], down={N1})
        outcomes = self.run_client(nodes, ISSUE, ISSUE, ticket_batch=1)
        self.assertEqual([200, 200], [outcome.status for outcome in outcomes])
        nodes = FakeNodes([answered()], down={N1, N2, N3})
        self.assertIsInstance(self.send(nodes), Refused)

    def test_attempt_timeout_retries_through_another_node_with_the_same_ticket(
        self,
    ) -> None:
        nodes = FakeNodes([replace(answered(), delay_s=60.0), answered()])
        self.assertIsInstance(self.send(nodes, attempt_timeout=300.0), Answered)
        self.assertEqual([N1, N2], [sent.node for sent in nodes.calls])
        self.assert_one_ticket(nodes)


class TestOutcomes(ClientCase):
    def script(self, *replies: Reply | type[httpx.TransportError]) -> FakeNodes:
        return FakeNodes([*replies, refused(Reason.OVERLOAD)])

    def test_outcome_is_unknown_while_an_attempt_may_have_run(self) -> None:
        nodes = self.script(httpx.ReadTimeout)
        outcome = self.send(nodes)
        self.assertIsInstance(outcome, Unknown)
        (asked,) = nodes.settle_requests
        self.assertIn(nodes.calls[0].ticket, asked.path)
        query = json.loads(asked.body)
        self.assertEqual(("POST", ISSUE.path), (query["method"], query["path"]))

    def test_outcome_is_refused_once_the_ticket_is_burnt(self) -> None:
        nodes = self.script(httpx.ReadError)
        nodes.settle_reply = refused(Reason.TICKET_BURNT)
        self.assertEqual(Reason.TICKET_BURNT, self.send(nodes).reason)

    def test_request_is_retried_with_a_new_ticket_once_its_ticket_is_burnt(
        self,
    ) -> None:
        burnt = refused(Reason.TICKET_BURNT)
        nodes = FakeNodes([httpx.ReadError, burnt, answered()])
        self.assertIsInstance(self.send(nodes), Answered)
        first, second = nodes.calls
        self.assertNotEqual(first.ticket, second.ticket)
        self.assertEqual("0", second.headers[call_headers.REPEAT])

    def test_only_a_burnt_ticket_settles_as_refused(self) -> None:
        for settle_reply in (
            refused(Reason.NO_ROUTE),
            unknown(Reason.TICKET_IN_PROGRESS),
        ):
            nodes = self.script(httpx.ReadError)
            nodes.settle_reply = settle_reply
            self.assertIsInstance(self.send(nodes), Unknown)

    def test_settling_returns_the_answer_of_an_earlier_attempt(self) -> None:
        nodes = self.script(httpx.ReadError)
        nodes.settle_reply = answered(b"cert")
        self.assertEqual(b"cert", self.send(nodes).body)

    def test_safe_request_is_not_settled(self) -> None:
        nodes = self.script(httpx.ReadError)
        nodes.settle_reply = refused(Reason.TICKET_BURNT)
        self.assertIsInstance(self.send(nodes, READ), Unknown)
        self.assertEqual([], nodes.settle_requests)

    def test_time_is_reserved_to_settle_an_unanswered_request(self) -> None:
        nodes = FakeNodes([replace(answered(), delay_s=60.0)])
        nodes.settle_reply = refused(Reason.TICKET_BURNT)
        outcome = self.send(nodes)
        self.assertEqual(Reason.TICKET_BURNT, outcome.reason)

    def test_ticket_of_a_stopped_issuer_is_replaced_if_unused(self) -> None:
        for reason in (Reason.HOME_GONE, Reason.TICKET_FORGOTTEN):
            nodes = FakeNodes([unknown(reason), answered()])
            self.assertIsInstance(self.send(nodes), Answered)
            first, second = (sent.ticket for sent in nodes.calls)
            self.assertNotEqual(first.rsplit(".", 1)[0], second.rsplit(".", 1)[0])
            nodes = FakeNodes([unknown(reason)])
            self.assertIsInstance(self.send(nodes), Refused)

    def test_outcome_is_unknown_if_the_issuer_of_a_used_ticket_stopped(self) -> None:
        for reason in (Reason.HOME_GONE, Reason.TICKET_FORGOTTEN):
            nodes = FakeNodes([httpx.ReadError, unknown(reason)])
            self.assertIsInstance(self.send(nodes), Unknown)
            self.assert_one_ticket(nodes)

    def test_cancellation_ends_the_request_at_once(self) -> None:
        async def main() -> float:
            nodes = FakeNodes([replace(answered(), delay_s=60.0)])
            async with open_client(self.cfg, nodes.transport()) as client:
                with trio.move_on_after(0.5):
                    await client.send(ISSUE)
                return trio.current_time()

        self.assertEqual(0.5, run_virtual(main))
