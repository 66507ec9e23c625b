from testtools import TestCase

from fuchsiagap.core.quarantine.fingerprint import FINGERPRINT_BYTES, fingerprint

REQUEST = (b"POST", "api.example", b"/read/1?a=1", (b"from:a",), b"body")


class TestFingerprint(TestCase):
    def test_repeats_share_a_fingerprint(self):
        self.assertEqual(fingerprint(*REQUEST), fingerprint(*REQUEST))
        self.assertEqual(FINGERPRINT_BYTES, len(fingerprint(*REQUEST)))

    def test_each_part_changes_the_fingerprint(self):
        others = [
            (b"PUT", *REQUEST[1:]),
            (b"POST", "api.other", *REQUEST[2:]),
            (*REQUEST[:2], b"/read/1?a=2", *REQUEST[3:]),
            (*REQUEST[:3], (b"from:b",), b"body"),
            (*REQUEST[:3], (), b"body"),
            (*REQUEST[:4], b"other"),
        ]
        found = {fingerprint(*parts) for parts in [REQUEST, *others]}
        self.assertEqual(1 + len(others), len(found))

    def test_bytes_cannot_move_between_adjacent_parts(self):
        one = fingerprint(b"GET", "api", b"/ab", (), b"c")
        two = fingerprint(b"GET", "api", b"/a", (), b"bc")
        three = fingerprint(b"GET", "api", b"/a", (b"b",), b"c")
        self.assertEqual(3, len({one, two, three}))
