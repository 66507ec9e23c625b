from testtools import TestCase

from fuchsiagap.core.door.queue import LEAST_QUEUE, DoorQueue


class TestDoorQueue(TestCase):
    def test_better_rank_goes_first_and_older_first_within_a_rank(self):
        queue = DoorQueue(1)
        for job, rank in (("c", 2), ("a", 0), ("d", 2), ("b", 0)):
            queue.push(job, rank, 100.0, 0.0)
        self.assertEqual(list("abcd"), [queue.pop().job for _ in range(4)])

    def test_nothing_starts_without_a_place(self):
        queue = DoorQueue(1)
        queue.running = 1
        queue.push("a", 0, 100.0, 0.0)
        self.assertIsNone(queue.pop())
        self.assertFalse(queue.has_place())

    def test_newest_of_the_worst_rank_makes_room(self):
        queue = DoorQueue(1)
        for job, rank in (("a", 0), ("b", 2), ("c", 2)):
            queue.push(job, rank, 100.0, 0.0)
        self.assertEqual("c", queue.pop_worst(1).job)
        self.assertIsNone(queue.pop_worst(2))

    def test_expired_and_dropped_requests_do_not_start(self):
        queue = DoorQueue(1)
        queue.push("late", 0, 10.0, 0.0)
        left = queue.push("left", 0, 100.0, 0.0)
        queue.push("stays", 0, 100.0, 0.0)
        self.assertTrue(queue.drop(left))
        self.assertFalse(queue.drop(left))
        self.assertEqual(["late"], [w.job for w in queue.expired(10.0)])
        self.assertEqual(1, queue.waiting)
        self.assertEqual("stays", queue.pop().job)

    def test_queue_holds_work_by_time_where_the_service_time_is_known(self):
        queue = DoorQueue(20)
        for _ in range(2 * 20):
            queue.push("a", 0, 100.0, 0.0)
        self.assertTrue(queue.is_full())
        queue.service_ms = 30.0
        self.assertFalse(queue.is_full())

    def test_few_places_still_have_a_queue(self):
        queue = DoorQueue(1)
        for _ in range(LEAST_QUEUE - 1):
            queue.push("a", 0, 100.0, 0.0)
        self.assertFalse(queue.is_full())
