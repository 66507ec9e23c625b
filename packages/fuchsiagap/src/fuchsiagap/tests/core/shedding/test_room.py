import math

from testtools import TestCase

from fuchsiagap.core.shedding.controller import TARGET_FULLNESS
from fuchsiagap.core.shedding.rate_admission import RateAdmission
from fuchsiagap.core.shedding.room import STALE_MS, Room

STEP_MS = 100.0
TARGET = "certs", "read"


def observe(room, n_steps, n_admitted, fullness, reply_age=50.0):
    """Let requests with one nested call be admitted in each step."""
    for _ in range(n_steps):
        for _ in range(n_admitted):
            room.record("read", admitted=True)
        room.step(STEP_MS, {"read": 2.0})
        room.observe(TARGET, fullness, reply_age, STEP_MS)
    return room


class TestRoom(TestCase):
    def test_rooms_of_entry_nodes_add_up_to_the_capacity(self):
        # 60 requests of two calls in 100 ms fill the service to 0.8.
        rooms = [observe(Room(), 250, n, 0.8) for n in (10, 20, 30)]
        total = sum(room.room(TARGET) for room in rooms)
        self.assertAlmostEqual(1.2 / 0.8, total, delta=0.02)

    def test_backlog_does_not_lower_the_room_for_seconds(self):
        # After an excess, a queue is reported as a fullness of 2.5 for half a second.
        room = observe(Room(), 100, 10, 1.0)
        before = room.room(TARGET)
        observe(room, 5, 10, 2.5)
        self.assertGreater(room.room(TARGET), 0.93 * before)

    def test_lasting_excess_lowers_the_room(self):
        # Two of four servers were lost, and the reported fullness stayed at 3 to 4 for
        # five seconds while the room fell by a quarter: most admitted trees timed out.
        room = observe(Room(), 100, 10, 0.9)
        before = room.room(TARGET)
        observe(room, 30, 10, 3.5)
        self.assertLess(room.room(TARGET), 0.5 * before)

    def test_room_is_kept_without_replies_until_it_is_stale(self):
        room = observe(Room(), 100, 10, 0.5)
        before = room.room(TARGET)
        observe(room, 30, 10, 0.1, reply_age=3_000.0)
        self.assertEqual(before, room.room(TARGET))
        observe(room, 1, 10, 0.0, reply_age=STALE_MS + 1.0)
        self.assertEqual(math.inf, room.room(TARGET))

    def test_node_is_cautious_after_its_start_and_after_a_failure(self):
        room = observe(Room(), 5, 10, 0.0, reply_age=math.inf)
        self.assertTrue(room.is_starting(TARGET))
        # The first replies are compared with a load whose lag has not filled yet.
        observe(room, 3, 10, 0.5)
        self.assertTrue(room.is_starting(TARGET))
        observe(room, 6, 10, 0.5)
        self.assertFalse(room.is_starting(TARGET))
        observe(room, 1, 10, 0.5, reply_age=2_000.0)
        observe(room, 1, 10, 0.5)
        self.assertTrue(room.is_resuming(TARGET))
        observe(room, 10, 10, 0.5)
        self.assertFalse(room.is_resuming(TARGET))

    def test_rate_of_requests_is_known_from_a_few_of_them(self):
        self.assertEqual(0.0, observe(Room(), 1, 1, 0.0).requests_since_start_per_s())
        self.assertEqual(20.0, observe(Room(), 5, 2, 0.0).requests_since_start_per_s())


class TestRateAdmission(TestCase):
    def _admitted(self, bucket, demand, n_steps, room=0.2):
        """Return the load admitted per millisecond if the share is admitted."""
        total = 0.0
        admitted = bucket.share * demand * STEP_MS
        for _ in range(n_steps):
            share = bucket.load_share(room, demand, demand, admitted, 1.0, 1.0, STEP_MS)
            admitted = share * demand * STEP_MS
            total += admitted
        return total / (n_steps * STEP_MS)

    def test_admitted_rate_does_not_follow_the_demand(self):
        bucket = RateAdmission()
        self._admitted(bucket, 0.3, 50)
        rates = [self._admitted(bucket, demand, 50) for demand in (0.3, 0.6)]
        # A node that refuses more gets up to a tenth more (`EQUALIZING`).
        for rate in rates:
            self.assertAlmostEqual(TARGET_FULLNESS * 0.2, rate, delta=0.03)

    def test_excess_admitted_at_an_onset_is_made_up_for(self):
        bucket = RateAdmission()
        args = (0.2, 0.4, 0.4)
        usual = bucket.load_share(*args, 20.0, 1.0, 1.0, STEP_MS)
        after = bucket.load_share(*args, 40.0, 1.0, 1.0, STEP_MS)
        self.assertLess(after, usual - 0.05)

    def test_single_request_is_admitted_after_a_quiet_time(self):
        # The demand after one request is much above the room of a node with few.
        bucket = RateAdmission()
        for _ in range(100):
            bucket.load_share(0.002, 0.0, 0.001, 0.0, 13.0, 1.0, STEP_MS)
        share = bucket.load_share(0.002, 0.05, 0.001, 0.0, 13.0, 1.0, STEP_MS)
        self.assertEqual(1.0, share)
