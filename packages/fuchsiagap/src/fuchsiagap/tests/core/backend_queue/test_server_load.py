"""Load reports that are malformed, absurd, outdated or stuck must do no harm."""

from testtools import TestCase

from fuchsiagap.core.backend_queue.server_load import (
    NO_SPEED,
    USUAL_SPEED,
    InvalidLoadError,
    PresentSpeed,
    ServerLoad,
    parse_server_load,
)


class TestParseServerLoad(TestCase):
    def test_speed_is_optional(self):
        self.assertEqual(ServerLoad(3, 0, 8), parse_server_load(b"3,0,8"))
        self.assertEqual(ServerLoad(3, 1, 8, 250), parse_server_load(b"3, 1,8 ,250"))

    def test_malformed_and_implausible_figures_are_rejected_with_their_kind(self):
        for value, kind in (
            (b"", "count"),
            (b"3,0", "count"),
            (b"1,2,3,4,5", "count"),
            (b"3,0,8,", "number"),
            (b"3,0,8,-5", "number"),
            (b"3,0,8,1.5", "number"),
            (b"3,0,8,\xb2", "number"),
            (b"3,0,8," + b"9" * 5_000, "number"),
            (b"3,0,8,0", "speed"),
            (b"3,0,8,10001", "speed"),
        ):
            error = self.assertRaises(InvalidLoadError, parse_server_load, value)
            self.assertEqual(kind, error.kind, value)
            self.assertLess(len(str(error)), 200)


class TestPresentSpeed(TestCase):
    def speeds(self, *stated, interval=100.0, later=0.0):
        """Return the speed after each figure, or `later` ms after it."""
        present = PresentSpeed()
        seen = []
        for n, speed in enumerate(stated):
            now = n * interval
            present.record(ServerLoad(0, 0, 8, speed), now)
            seen.append(present.speed(now + later))
        return seen

    def test_no_speed_is_used_until_one_is_stated(self):
        self.assertEqual([NO_SPEED, 250, 250], self.speeds(None, 250, None))

    def test_outdated_figure_is_not_used(self):
        self.assertEqual([250], self.speeds(250, later=500.0))
        self.assertEqual([USUAL_SPEED], self.speeds(250, later=501.0))

    def test_absurd_figure_is_bounded(self):
        self.assertEqual([25, 1_000], self.speeds(1, 10_000))

    def test_figure_that_never_changes_is_not_used(self):
        stuck = self.speeds(*[250] * 51, 240)
        self.assertEqual([250, USUAL_SPEED, 240], stuck[49:])

    def test_idle_time_does_not_make_a_figure_stuck(self):
        self.assertEqual([250] * 20, self.speeds(*[250] * 20, interval=600.0))
