"""The concurrency limit converges to the true slots, whatever the server reports."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.calls.outcome import Reason
from fuchsiagap.tests.core.admission.gate_load import Load, make_gate
from fuchsiagap_standins.builders import a_head, a_refusal
from fuchsiagap_standins.testing import run_virtual

_TRUE_SLOTS = 30


def _overload_from_3_s(now: float) -> float:
    return 200.0 if now < 3_000.0 else 450.0


async def _limit_after(
    reported: int, seconds: float, slow_from: float = 1e9, slow_to: float = 1e9
) -> tuple[int, int]:
    """Return the limit, and the calls answered in the last five seconds."""
    gate = make_gate()
    gate.apply_report(reported, 0)
    load = Load(
        gate, _TRUE_SLOTS, lambda now: 5.0 if slow_from <= now < slow_to else 1.0
    )
    await load.run(_overload_from_3_s, seconds)
    late = [at for at, _ in load.answered if at > (seconds - 5.0) * 1000.0]
    return gate.limit, len(late)


class TestLimit(TestCase):
    def test_a_constant_report_far_too_high_is_corrected(self) -> None:
        limit, answered = run_virtual(_limit_after, 300, 13.0)
        self.assertTrue(25 <= limit <= 45, limit)
        self.assertGreater(answered, 1_300)

    def test_a_report_far_too_low_is_corrected(self) -> None:
        limit, answered = run_virtual(_limit_after, 3, 20.0)
        self.assertTrue(25 <= limit <= 45, limit)
        self.assertGreater(answered, 1_300)

    def test_a_correct_report_is_kept(self) -> None:
        limit, _ = run_virtual(_limit_after, 30, 13.0)
        self.assertTrue(25 <= limit <= 45, limit)

    def test_a_slow_server_is_not_taken_for_one_that_queues(self) -> None:
        limit, answered = run_virtual(_limit_after, 30, 13.0, 3_000.0, 30_000.0)
        self.assertTrue(25 <= limit <= 45, limit)
        self.assertGreater(answered, 250)

    def test_it_recovers_after_a_slow_period(self) -> None:
        limit, answered = run_virtual(_limit_after, 30, 20.0, 3_000.0, 10_000.0)
        self.assertGreaterEqual(limit, 25)
        self.assertGreater(answered, 1_300)

    def test_a_refusal_by_the_server_lowers_it(self) -> None:
        async def main() -> int:
            gate = make_gate(start_limit=20)
            entered = await gate.enter(a_head(deadline=1e9))
            gate.leave(entered, a_refusal(Reason.BACKEND_REFUSED))
            return gate.limit

        self.assertLess(run_virtual(main), 20)
