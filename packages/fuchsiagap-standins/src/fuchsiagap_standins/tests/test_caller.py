"""Tests of the caller stand-in: open loop, retries and reported counts."""

from __future__ import annotations

import random

import httpx
import trio
from testtools import TestCase

from fuchsiagap_standins.answers import CallMark, answer_body
from fuchsiagap_standins.caller import (
    CallerReport,
    CallerSettings,
    final_outcome,
    run_callers,
)
from fuchsiagap_standins.graphs import load_graph
from fuchsiagap_standins.request_senders import (
    Attempt,
    ClientRequest,
    RequestOutcome,
    read_response,
)
from fuchsiagap_standins.testing import run_virtual

GRAPH = load_graph("queensland")
ANSWERED = Attempt(RequestOutcome.ANSWERED)
REFUSED = Attempt(RequestOutcome.REFUSED, "overload")
UNKNOWN = Attempt(RequestOutcome.UNKNOWN, "deadline")
WRONG = Attempt(RequestOutcome.WRONG)


async def no_ticket():
    return ""


def collect_report(send, **settings):
    """Run callers against `send` and return their report."""

    async def main():
        fields = {"rate": 50.0, "duration": 10_000.0} | settings
        report = CallerReport()
        cfg = CallerSettings(GRAPH, **fields)
        await run_callers(cfg, send, no_ticket, random.Random(4), report)
        return report

    return run_virtual(main, limit_s=600)


class CallerTest(TestCase):
    def test_slow_answers_do_not_reduce_the_request_rate(self):
        started = []

        async def send(request):
            started.append(trio.current_time())
            await trio.sleep(100)
            return ANSWERED

        report = collect_report(send)
        self.assertLess(max(started), 10.0)
        self.assertTrue(450 < report.sent < 550, report.sent)
        self.assertEqual(report.sent, report.total(RequestOutcome.ANSWERED))

    def test_routes_are_drawn_by_their_shares(self):
        async def send(request):
            return ANSWERED

        report = collect_report(send, rate=300.0)
        for route in GRAPH.roots:
            share = report.routes[route.name].sent / report.sent
            self.assertAlmostEqual(route.share, share, delta=0.03)

    def test_immediate_retries_repeat_the_same_request_up_to_the_limit(self):
        seen = []

        async def send(request):
            seen.append((request.mark.nonce, request.ticket, request.target))
            return REFUSED

        report = collect_report(send, retries=4)
        self.assertEqual(report.sent * 5, len(seen))
        self.assertEqual(report.sent, len(set(seen)))
        self.assertEqual(report.sent, len(report.refused))
        self.assertEqual({"overload": len(seen)}, report.reasons)

    def test_latency_is_from_the_first_attempt(self):
        n_attempts = {}

        async def send(request):
            await trio.sleep(0.2)
            n_attempts[request.mark.nonce] = n_attempts.get(request.mark.nonce, 0) + 1
            return ANSWERED if n_attempts[request.mark.nonce] == 2 else UNKNOWN

        report = collect_report(send, retries=1)
        route_report = report.routes["results/lookup"]
        self.assertAlmostEqual(400.0, route_report.percentile(99), delta=1.0)

    def test_final_outcome_of_several_attempts(self):
        cases = [
            ([REFUSED, ANSWERED], RequestOutcome.ANSWERED),
            ([REFUSED, REFUSED], RequestOutcome.REFUSED),
            ([UNKNOWN, REFUSED], RequestOutcome.UNKNOWN),
            ([REFUSED, UNKNOWN], RequestOutcome.UNKNOWN),
            ([UNKNOWN, WRONG], RequestOutcome.WRONG),
        ]
        for attempts, outcome in cases:
            self.assertIs(outcome, final_outcome(attempts))


class ReadResponseTest(TestCase):
    def read(self, status, outcome, body=b""):
        route = GRAPH.route("certs/read")
        request = ClientRequest(route, CallMark("n1"), "/certificates/1", "")
        headers = {"fuchsiagap-outcome": outcome} if outcome else {}
        response = httpx.Response(status, headers=headers, content=body)
        return read_response(request, response).outcome

    def test_only_a_complete_answer_to_the_same_request_counts(self):
        own = answer_body(CallMark("n1"), "certs/read")
        self.assertIs(RequestOutcome.ANSWERED, self.read(200, "answered", own))
        for body in (own[:-1], answer_body(CallMark("n2"), "certs/read"), b""):
            self.assertIs(RequestOutcome.WRONG, self.read(200, "answered", body))

    def test_other_responses(self):
        self.assertIs(RequestOutcome.REFUSED, self.read(503, "refused"))
        self.assertIs(RequestOutcome.UNKNOWN, self.read(502, "unknown"))
        self.assertIs(RequestOutcome.UNKNOWN, self.read(502, "answered"))
        self.assertIs(RequestOutcome.UNKNOWN, self.read(200, ""))
