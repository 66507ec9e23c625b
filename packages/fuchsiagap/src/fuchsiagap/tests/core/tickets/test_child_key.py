"""Tests of child keys, which must be stable and unique, fingerprints and parsing."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.tickets.child_key import ChildOrdinals, child_key, fingerprint
from fuchsiagap.core.tickets.ticket import MalformedTicket, Ticket, parse_ticket
from fuchsiagap_standins.builders import a_head, a_service

DESK = a_service("desk")


def keys(parent: str, *explicit_keys: str) -> list[str]:
    ordinals = ChildOrdinals()
    return [
        child_key(parent, key, DESK, "desk/order", ordinals) for key in explicit_keys
    ]


class TestChildKey(TestCase):
    def test_the_same_calls_in_the_same_order_get_the_same_keys(self) -> None:
        first = keys("", "", "", "")
        self.assertEqual(first, keys("", "", "", ""))
        self.assertEqual(3, len(set(first)))

    def test_explicit_keys_do_not_depend_on_the_order_of_calls(self) -> None:
        self.assertEqual(keys("", "a", "b"), keys("", "b", "a")[::-1])

    def test_explicit_keys_that_resemble_derived_ones_differ_from_them(self) -> None:
        derived = keys("", "")[0]
        nested = keys(derived, "x")[0]
        tail = nested.removeprefix(derived.removesuffix("#0"))
        lookalikes = keys("", "#0", "0", "a/b", "a", tail)
        self.assertEqual(7, len({derived, nested, *lookalikes}))

    def test_long_keys_are_distinct_and_of_limited_length(self) -> None:
        long = keys("", "x" * 5000, "x" * 5000 + "y")
        self.assertNotEqual(*long)
        self.assertLess(max(map(len, long)), 200)


class TestFingerprint(TestCase):
    def test_each_part_of_the_request_changes_the_fingerprint(self) -> None:
        fingerprints = {
            fingerprint(a_head(), b""),
            fingerprint(a_head(), b"x"),
            fingerprint(a_head(target="/x"), b""),
            fingerprint(a_head(method="PUT"), b""),
            fingerprint(a_head(service=DESK), b""),
        }
        self.assertEqual(5, len(fingerprints))
        again = a_head("other", headers=(("date", "later"),), deadline=1.0)
        self.assertIn(fingerprint(again, b""), fingerprints)


class TestParseTicket(TestCase):
    def test_only_the_canonical_text_is_parsed(self) -> None:
        self.assertEqual(Ticket("a.b", 31, 10), parse_ticket("a.b.1f.a"))
        for text in ("", "a", "a.1", ".1.2", "a.1.0x2", "a.1.02", "a.1. 2", "a.1.A"):
            self.assertIsInstance(parse_ticket(text), MalformedTicket, text)
