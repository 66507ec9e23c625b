from testtools import TestCase

from fuchsiagap.core.backend_queue.offered import AVERAGED_MS, BACKLOG_MS, OfferedLoad

SERVICE_MS = 15.0


def arriving(a_second, seconds=2.0):
    """Return the load of requests that arrive evenly, and the time at the end."""
    load = OfferedLoad()
    gap = 1_000.0 / a_second
    now = 0.0
    while now < seconds * 1_000.0:
        load.note_arrival(now)
        now += gap
    return load, now


class TestOfferedLoad(TestCase):
    def test_load_is_arrivals_times_the_time_that_each_takes(self):
        for a_second in (300, 1_200, 3_600):
            load, now = arriving(a_second)
            expected = a_second * SERVICE_MS / 1_000.0
            self.assertAlmostEqual(
                expected, load.places(now, SERVICE_MS, 0), delta=0.05 * expected
            )

    def test_step_shows_within_half_a_second(self):
        load, now = arriving(1_000)
        for _ in range(1_000):
            load.note_arrival(now)
            now += 0.5
        self.assertGreater(load.places(now, SERVICE_MS, 0), 0.9 * 30.0)

    def test_what_waits_counts_beside_what_arrives(self):
        load, now = arriving(1_200)
        more = load.places(now, SERVICE_MS, 40) - load.places(now, SERVICE_MS, 0)
        self.assertAlmostEqual(40 * SERVICE_MS / BACKLOG_MS, more)

    def test_nothing_is_left_after_a_silence(self):
        load, now = arriving(1_200)
        self.assertLess(load.places(now + 10 * AVERAGED_MS, SERVICE_MS, 0), 0.01)
