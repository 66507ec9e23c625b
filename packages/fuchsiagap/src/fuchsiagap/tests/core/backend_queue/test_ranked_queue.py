import itertools

from testtools import TestCase

from fuchsiagap.core.backend_queue.ranked_queue import (
    GUARANTEED_START_SHARE,
    MAX_YIELD_SHARE,
    MIN_QUEUE_LENGTH,
    URGENT_SERVICE_TIMES,
    RankedQueue,
)


class TestRankedQueue(TestCase):
    def test_requests_start_by_rank_then_by_due_time(self):
        queue = RankedQueue(1)
        for job, rank, due in (
            ("d", 2, 90.0),
            ("a", 0, 50.0),
            ("c", 2, 20.0),
            ("b", 0, 50.0),
        ):
            queue.push(job, rank, 100.0, due, 0.0)
        self.assertEqual(list("abcd"), [queue.pop(0.0).job for _ in range(4)])

    def test_late_requests_start_after_those_still_in_time(self):
        queue = RankedQueue(1)
        for job, due in (("late", 10.0), ("later", 20.0), ("in time", 90.0)):
            queue.push(job, 0, 200.0, due, 0.0)
        order = [queue.pop(30.0).job for _ in range(3)]
        self.assertEqual(["in time", "late", "later"], order)

    def test_late_requests_are_evicted_before_those_still_in_time(self):
        queue = RankedQueue(1)
        dues = [("late", 10.0), ("soon", 50.0), ("then", 90.0)]
        dues += [(f"early-{n}", 40.0) for n in range(4)]
        for job, due in dues:
            queue.push(job, 2, 200.0, due, 0.0)
        queue.running = 0
        queue.push("better", 0, 200.0, 90.0, 30.0)
        self.assertEqual("better", queue.pop(15.0).job)
        self.assertEqual("early-0", queue.pop(15.0).job)
        left = [queue.evict_for(0).job for _ in range(2)]
        self.assertEqual(["late", "then"], left)

    def test_short_objective_is_met_behind_queued_calls_with_long_ones(self):
        # 12 requests wait for one slot with a service time of 15 ms when one with a
        # short objective arrives: in order of arrival it would start after 180 ms and
        # be late.
        queue = RankedQueue(1)
        for n in range(12):
            queue.push(f"tree-{n}", 2, 5_000.0, 1_000.0, 0.0)
        queue.push("short", 2, 600.0, 150.0, 0.0)
        started = [queue.pop(15.0 * n).job for n in range(13)]
        self.assertLess(15.0 * started.index("short") + 48.0, 150.0)

    def test_nested_call_about_to_expire_overtakes_better_ranks(self):
        queue = RankedQueue(1)
        queue.service_ms = 30.0
        queue.push("tree", 2, 200.0, 150.0, 0.0, is_nested=True)
        queue.push("new", 3, 200.0, 150.0, 0.0)
        for n in range(4):
            queue.push(f"better-{n}", 0, 500.0, 400.0, 0.0)
        self.assertEqual("better-0", queue.pop(0.0).job)
        late = 200.0 - 0.9 * URGENT_SERVICE_TIMES * queue.service_ms
        started = [queue.pop(late).job for _ in range(2)]
        self.assertEqual(["tree", "better-1"], started)

    def test_nothing_starts_without_a_free_slot(self):
        queue = RankedQueue(1)
        queue.running = 1
        queue.push("a", 0, 100.0, 100.0, 0.0)
        self.assertIsNone(queue.pop(0.0))
        self.assertFalse(queue.has_free_slot())

    def test_newest_request_of_the_worst_rank_is_evicted(self):
        queue = RankedQueue(1)
        queue.push("a", 0, 100.0, 100.0, 0.0)
        for number in range(6):
            queue.push(f"b-{number}", 2, 100.0, 100.0, 0.0)
        self.assertEqual("b-5", queue.evict_for(1).job)
        self.assertIsNone(queue.evict_for(2))

    def test_worse_rank_keeps_its_guaranteed_share_of_the_queue(self):
        queue = RankedQueue(1)
        for number in range(MIN_QUEUE_LENGTH):
            queue.push(f"b-{number}", 2, 100.0, 100.0, 0.0)
        evicted = [queue.evict_for(0) for _ in range(MIN_QUEUE_LENGTH)]
        left = int(GUARANTEED_START_SHARE * MIN_QUEUE_LENGTH)
        self.assertEqual(
            MIN_QUEUE_LENGTH - left, sum(job is not None for job in evicted)
        )

    def test_rank_below_its_guarantee_displaces_a_better_one(self):
        queue = RankedQueue(1)
        for number in range(MIN_QUEUE_LENGTH):
            queue.push(f"a-{number}", 0, 100.0, 100.0, 0.0)
        for number in range(int(GUARANTEED_START_SHARE * MIN_QUEUE_LENGTH)):
            self.assertIsNotNone(queue.evict_for(2))
            queue.push(f"b-{number}", 2, 100.0, 100.0, 0.0)
        self.assertIsNone(queue.evict_for(2))

    def test_delayed_rank_gets_its_share_of_starts_under_constant_better_load(self):
        # A better request arrives for each that starts: with strict priority, none of
        # the worse ones would start before its deadline.
        queue = RankedQueue(1)
        for number in range(10):
            queue.push(f"b-{number}", 2, 700.0, 900.0, 0.0)
        started = []
        for step in range(80):
            now = 10.0 * step
            queue.push("a", 0, now + 700.0, now + 900.0, now)
            started.append(queue.pop(now).job)
        delayed = [n for n, job in enumerate(started) if job != "a"]
        self.assertEqual(10, len(delayed))
        # None before its yield time has passed, then one start in four.
        self.assertGreaterEqual(10.0 * delayed[0], MAX_YIELD_SHARE * 700.0)
        gaps = [after - before for before, after in itertools.pairwise(delayed)]
        self.assertEqual({int(1.0 / GUARANTEED_START_SHARE)}, set(gaps))

    def test_better_of_two_delayed_ranks_is_not_blocked_by_the_worse(self):
        queue = RankedQueue(1)
        for number in range(40):
            queue.push(f"c-{number}", 3, 700.0, 900.0, 0.0)
        queue.push("b", 2, 700.0, 900.0, 0.0)
        started = []
        for step in range(30):
            now = MAX_YIELD_SHARE * 700.0 + 10.0 * step
            queue.push("a", 0, now + 700.0, now + 900.0, now)
            started.append(queue.pop(now).job)
        self.assertLess(started.index("b"), 8)

    def test_late_nested_call_is_not_put_behind_newer_ones(self):
        # Under overload, the requests that have cost least work are abandoned.
        queue = RankedQueue(1)
        queue.push("old", 2, 900.0, 10.0, 0.0, is_nested=True)
        queue.push("late root", 2, 900.0, 20.0, 0.0)
        for number in range(3):
            queue.push(f"new-{number}", 2, 900.0, 800.0, 0.0, is_nested=True)
        order = [queue.pop(30.0).job for _ in range(5)]
        self.assertEqual(["old", "new-0", "new-1", "new-2", "late root"], order)

    def test_expired_and_dropped_requests_do_not_start(self):
        queue = RankedQueue(1)
        queue.push("late", 0, 10.0, 10.0, 0.0)
        left = queue.push("left", 0, 100.0, 100.0, 0.0)
        queue.push("stays", 0, 100.0, 100.0, 0.0)
        self.assertTrue(queue.drop(left))
        self.assertFalse(queue.drop(left))
        self.assertEqual(["late"], [w.job for w in queue.expired(10.0)])
        self.assertEqual(1, queue.waiting)
        self.assertEqual("stays", queue.pop(0.0).job)

    def test_capacity_follows_the_service_time_once_it_is_known(self):
        queue = RankedQueue(20)
        for _ in range(2 * 20):
            queue.push("a", 0, 100.0, 100.0, 0.0)
        self.assertTrue(queue.is_full())
        queue.service_ms = 30.0
        self.assertFalse(queue.is_full())

    def test_minimum_capacity_applies_to_few_slots(self):
        queue = RankedQueue(1)
        for _ in range(MIN_QUEUE_LENGTH - 1):
            queue.push("a", 0, 100.0, 100.0, 0.0)
        self.assertFalse(queue.is_full())

    def test_memory_is_bounded_by_the_waiting_requests(self):
        queue = RankedQueue(1)
        first = queue.push("first", 0, 1e9, 1e9, 0.0)
        for number in range(1_000_000):
            now = float(number)
            item = queue.push(number, 0, now + 500.0, now + 100.0, now)
            self.assertTrue(queue.drop(item))
        ranks = queue._ranks.values()
        kept = sum(len(rank.by_arrival) + len(rank.in_time) for rank in ranks)
        self.assertLess(kept, 200)
        self.assertIs(first, queue.pop(2e6))

    def test_memory_is_bounded_if_all_requests_of_a_rank_are_popped(self):
        queue = RankedQueue(1)
        for number in range(100_000):
            queue.push(number, 0, number + 500.0, number + 100.0, float(number))
            self.assertIsNotNone(queue.pop(float(number)))
        self.assertLess(sum(len(r.by_arrival) for r in queue._ranks.values()), 200)

    def test_guaranteed_part_of_the_queue_is_shared_by_the_ranks_present(self):
        queue = RankedQueue(1)
        for rank in range(2, 12):
            queue.drop(queue.push("gone", rank, 1e9, 1e9, 0.0))
        while not queue.is_full():
            queue.push("urgent", 0, 1e9, 1e9, 0.0)
        evicted = 0
        while queue.evict_for(1) is not None:
            queue.push("later", 1, 1e9, 1e9, 0.0)
            evicted += 1
        self.assertEqual(4, evicted)
