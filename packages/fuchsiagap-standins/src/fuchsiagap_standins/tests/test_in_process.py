"""Tests of backend servers in the node's own process."""

from __future__ import annotations

import random

import trio
from testtools import TestCase

from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap_standins.answers import CallMark, is_own_answer
from fuchsiagap_standins.backend import BackendStandIn
from fuchsiagap_standins.backend_types import (
    BackendFaults,
    BackendSettings,
    ChildOutcome,
)
from fuchsiagap_standins.builders import a_head, an_answer, outcomes
from fuchsiagap_standins.graphs import load_graph
from fuchsiagap_standins.in_process import InProcessBackend, result_of
from fuchsiagap_standins.run_log import RunState
from fuchsiagap_standins.testing import run_virtual

MARK = CallMark("n1")
HEAD = a_head(target="/bookings/1", headers=MARK.headers())


class InProcessBackendTest(TestCase):
    def run_backend(self, use):
        async def main():
            cfg = BackendSettings(load_graph("queensland"), "bookings", "bookings-1")
            server = BackendStandIn(cfg, None, random.Random(1))
            await use(InProcessBackend(server), server)

        run_virtual(main, limit_s=600)

    def test_answer_is_that_of_the_backend_server(self):
        async def use(backend, _):
            outcome = await backend.send(HEAD, b"", 1_000.0)
            self.assertIsInstance(outcome, Answered)
            self.assertTrue(is_own_answer(outcome.body, MARK, "bookings/show"))

        self.run_backend(use)

    def test_not_run_is_refused_and_a_lost_answer_is_unknown(self):
        async def use(backend, server):
            server.draining = True
            refused = await backend.send(HEAD, b"", 1_000.0)
            self.assertIs(Reason.BACKEND_REFUSED, refused.reason)
            server.draining = False
            server.faults = BackendFaults(lose_answers=1.0)
            lost = await backend.send(HEAD, b"", 1_000.0)
            self.assertIsInstance(lost, Unknown)

        self.run_backend(use)

    def test_crash_cancels_running_calls_and_refuses_new_ones(self):
        async def use(backend, server):
            server.faults = BackendFaults(hang=1.0)
            outcomes = []

            async def call():
                outcomes.append(await backend.send(HEAD, b"", 1_000.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(1)
                backend.crash()
            self.assertIsInstance(outcomes[0], Unknown)
            self.assertIs(RunState.CANCELLED, server.runs[0].state)
            self.assertIsInstance(await backend.send(HEAD, b"", 1_000.0), Refused)
            self.assertIsNone(await backend.load())
            backend.restart()
            server.faults = BackendFaults()
            again = await backend.send(HEAD, b"", 1_000.0)
            self.assertIsInstance(again, Answered)

        self.run_backend(use)

    def test_outcomes_convert_to_child_results(self):
        seen = [result_of(outcome).outcome for outcome in outcomes()]
        self.assertEqual(list(ChildOutcome), seen)
        self.assertEqual(500, result_of(an_answer(b"", status=500)).status)
