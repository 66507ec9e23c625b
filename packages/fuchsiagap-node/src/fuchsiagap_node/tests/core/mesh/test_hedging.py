"""Hedged requests, repeated until one is answered."""

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_standins.mesh.virtual import run_in_memory

INTERVAL_MS = 400.0


def run_hedge(delays):
    """Run a hedged request, with the delay of each answer in seconds.

    Returns the response, the seconds it took, the number of requests sent, and the
    times of the calls of `on_unresponsive`.
    """
    sent, unresponsive_at = [], []

    async def send():
        number = len(sent)
        sent.append(round(trio.current_time(), 3))
        await trio.sleep(delays[number] if number < len(delays) else 0.0)
        return f"answer {number}"

    async def main():
        start = trio.current_time()
        response = await hedge(
            send,
            INTERVAL_MS,
            lambda: unresponsive_at.append(trio.current_time() - start),
        )
        return response, round(trio.current_time() - start, 3)

    response, took = run_in_memory(main)
    return response, took, len(sent), [round(at, 3) for at in unresponsive_at]


class TestHedge(TestCase):
    def test_answer_in_time_needs_one_request(self):
        response, took, n_sent, unresponsive_at = run_hedge([0.1])
        self.assertEqual(("answer 0", 0), response)
        self.assertEqual((0.1, 1, []), (took, n_sent, unresponsive_at))

    def test_slow_answer_to_first_request_is_used(self):
        response, took, n_sent, _ = run_hedge([1.0] * 10)
        self.assertEqual(("answer 0", 0), response)
        self.assertEqual((1.0, 3), (took, n_sent))

    def test_dropped_requests_are_repeated_and_reported(self):
        response, took, n_sent, unresponsive_at = run_hedge([60.0, 60.0, 60.0, 0.05])
        self.assertEqual(("answer 3", 3), response)
        self.assertEqual((1.25, 4), (took, n_sent))
        self.assertEqual([0.8], unresponsive_at)
