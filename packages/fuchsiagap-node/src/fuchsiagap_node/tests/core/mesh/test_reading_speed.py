"""Speed of a peer, observed while data waits for it."""

from testtools import TestCase

from fuchsiagap_node.core.mesh.reading_speed import ReadingSpeed


def observe(*observations):
    """Return the speed after observations of time, bytes sent and bytes waiting."""
    speed = ReadingSpeed()
    for observation in observations:
        speed.observe(*observation)
    return speed


class TestReadingSpeed(TestCase):
    def test_speed_is_unknown_after_a_short_time(self):
        speed = observe((0.0, 1_000, 1_000), (200.0, 1_000, 900))
        self.assertEqual(0.0, speed.time_to_read(900))

    def test_time_follows_from_the_bytes_that_were_read(self):
        speed = observe((0.0, 1_000, 1_000), (400.0, 2_000, 1_600))
        self.assertEqual(1_600.0, speed.time_to_read(1_600))

    def test_time_without_waiting_data_does_not_count(self):
        speed = observe((0.0, 1_000, 1_000), (300.0, 1_000, 0), (9_000.0, 2_000, 500))
        self.assertEqual(150.0, speed.time_to_read(500))

    def test_peer_that_reads_nothing_needs_forever(self):
        speed = observe((0.0, 1_000, 800), (300.0, 1_000, 800))
        self.assertEqual(
            (0.0, float("inf")), (speed.time_to_read(0), speed.time_to_read(1))
        )
