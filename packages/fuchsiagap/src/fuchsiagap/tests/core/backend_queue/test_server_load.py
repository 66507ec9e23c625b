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
        self.assertEqual([NO_SPEED, USUAL_SPEED], self.speeds(None, 250))

    def test_outdated_figure_is_not_used(self):
        usual = [100] * 10
        self.assertEqual(250, self.speeds(*usual, 250, later=500.0)[-1])
        self.assertEqual(USUAL_SPEED, self.speeds(*usual, 250, later=501.0)[-1])

    def test_absurd_figure_is_bounded(self):
        usual = [100] * 10
        self.assertEqual([25, 1_000], self.speeds(*usual, 1, 10_000)[-2:])

    def test_slow_interval_of_a_server_on_a_slow_host_is_seen(self):
        # Its usual time is measured; taking 160 for slow as well would count it twice.
        stated = [160] * 20 + [400] * 6 + [160] * 4
        self.assertEqual(
            [USUAL_SPEED] * 20 + [250] * 6 + [USUAL_SPEED] * 4, self.speeds(*stated)
        )

    def test_figure_that_never_changes_is_not_used(self):
        # A server that is stuck at a high figure is not avoided for good.
        stuck = self.speeds(*[100] * 60, *[250] * 60)
        self.assertEqual(250, stuck[60])
        self.assertEqual(USUAL_SPEED, stuck[-1])

    def test_server_that_starts_slow_is_usual_soon(self):
        seen = self.speeds(*[250] * 6, *[100] * 20)
        self.assertEqual(USUAL_SPEED, seen[-1])
