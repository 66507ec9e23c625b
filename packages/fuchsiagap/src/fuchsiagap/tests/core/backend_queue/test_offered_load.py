from testtools import TestCase

from fuchsiagap.core.backend_queue.offered_load import (
    AVERAGING_MS,
    BACKLOG_MS,
    OfferedLoad,
)

SERVICE_MS = 15.0


def with_steady_arrivals(per_second, seconds=2.0):
    """Return an estimate fed with evenly spaced arrivals, and the time at the end."""
    load = OfferedLoad()
    gap = 1_000.0 / per_second
    now = 0.0
    while now < seconds * 1_000.0:
        load.record_arrival(now)
        now += gap
    return load, now


class TestOfferedLoad(TestCase):
    def test_load_is_arrival_rate_times_service_time(self):
        for per_second in (300, 1_200, 3_600):
            load, now = with_steady_arrivals(per_second)
            expected = per_second * SERVICE_MS / 1_000.0
            self.assertAlmostEqual(
                expected, load.places(now, SERVICE_MS, 0), delta=0.05 * expected
            )

    def test_step_of_the_arrival_rate_shows_within_half_a_second(self):
        load, now = with_steady_arrivals(1_000)
        for _ in range(1_000):
            load.record_arrival(now)
            now += 0.5
        self.assertGreater(load.places(now, SERVICE_MS, 0), 0.9 * 30.0)

    def test_queued_requests_add_to_the_load(self):
        load, now = with_steady_arrivals(1_200)
        more = load.places(now, SERVICE_MS, 40) - load.places(now, SERVICE_MS, 0)
        self.assertAlmostEqual(40 * SERVICE_MS / BACKLOG_MS, more)

    def test_load_decays_without_arrivals(self):
        load, now = with_steady_arrivals(1_200)
        self.assertLess(load.places(now + 10 * AVERAGING_MS, SERVICE_MS, 0), 0.01)
