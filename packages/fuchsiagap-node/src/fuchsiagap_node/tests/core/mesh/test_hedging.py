"""Questions that are asked again while they have no answer."""

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_standins.mesh.virtual import run_in_memory

EVERY_MS = 400.0


def play(answers):
    """Ask where each answer is a delay in seconds; return all that was seen."""
    asked, silences = [], []

    async def ask():
        number = len(asked)
        asked.append(round(trio.current_time(), 3))
        await trio.sleep(answers[number] if number < len(answers) else 0.0)
        return f"answer {number}"

    async def main():
        start = trio.current_time()
        heard = await hedge(
            ask, EVERY_MS, lambda: silences.append(trio.current_time() - start)
        )
        return heard, round(trio.current_time() - start, 3)

    heard, took = run_in_memory(main)
    return heard, took, len(asked), [round(at, 3) for at in silences]


class TestHedge(TestCase):
    def test_answer_in_time_is_the_only_question(self):
        heard, took, n_asked, silences = play([0.1])
        self.assertEqual(("answer 0", 0), heard)
        self.assertEqual((0.1, 1, []), (took, n_asked, silences))

    def test_slow_answer_to_the_first_question_counts(self):
        heard, took, n_asked, _ = play([1.0] * 10)
        self.assertEqual(("answer 0", 0), heard)
        self.assertEqual((1.0, 3), (took, n_asked))

    def test_question_that_is_dropped_is_asked_again_and_told_of(self):
        heard, took, n_asked, silences = play([60.0, 60.0, 60.0, 0.05])
        self.assertEqual(("answer 3", 3), heard)
        self.assertEqual((1.25, 4), (took, n_asked))
        self.assertEqual([0.8], silences)
