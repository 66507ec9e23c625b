from testtools import TestCase

from fuchsiagap.core.backend_queue.departures import Departure, DepartureRegister


def a_departure(instance="i-1", born=1_000, node="n-1", **changes):
    """Return a departure."""
    return Departure(node, instance, born, **changes)


class TestDepartureRegister(TestCase):
    def setUp(self):
        super().setUp()
        self.register = DepartureRegister()

    def departures(self, node="n-1"):
        """Return the recorded identifiers and start times beside a node."""
        return [(d.instance, d.born) for d in self.register.of_node(node)]

    def test_repeated_departure_changes_nothing(self):
        self.assertTrue(self.register.record(a_departure()))
        self.assertFalse(self.register.record(a_departure()))
        self.assertEqual([("i-1", 1_000)], self.departures())

    def test_departure_of_a_later_start_replaces_that_of_an_earlier_one(self):
        self.register.record(a_departure(born=1_000))
        self.assertTrue(self.register.record(a_departure(born=2_000)))
        self.assertFalse(self.register.record(a_departure(born=1_000)))
        self.assertEqual([("i-1", 2_000)], self.departures())

    def test_revoked_departure_is_forgotten(self):
        self.register.record(a_departure())
        self.assertTrue(self.register.record(a_departure(is_revoked=True)))
        self.assertFalse(self.register.record(a_departure(is_revoked=True)))
        self.assertEqual([], self.departures())
        self.assertEqual(0, len(self.register))

    def test_oldest_departures_are_forgotten_first(self):
        for number in range(6):
            self.register.record(a_departure(f"i-{number}"))
        self.assertEqual(
            ["i-2", "i-3", "i-4", "i-5"],
            [instance for instance, _ in self.departures()],
        )
        for number in range(1_000):
            self.register.record(a_departure(node=f"other-{number}"))
        self.assertEqual([], self.departures())
        self.assertEqual(1_000, len(self.register))
