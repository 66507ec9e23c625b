"""Request rates that backend servers name, and their enforcement."""

from testtools import TestCase
from testtools.testcase import ExpectedException

from fuchsiagap.core.backend_queue.named_limit import (
    InvalidNoticeError,
    NoticeTracker,
    RateLimiter,
    ServerNotice,
    parse_leaving,
    parse_rate,
)

INVALID_RATES = (
    b"-1",
    b"+1",
    b"NaN",
    b"inf",
    b"1e999",
    b"1e3",
    b"",
    b" ",
    b"ten",
    b"0x10",
    b"1, 2",
    b"6.0, 6.0",
    b"9" * 400,
    b"1." + b"0" * 400,
    "٣".encode(),
    b"\xff\xfe",
    b"1_000",
)


class TestParseNotice(TestCase):
    def test_valid_values(self):
        for value, rate in ((b"24.8", 24.8), (b" 6 ", 6.0), (b"0", 0.0)):
            self.assertEqual(rate, parse_rate(value))
        self.assertTrue(parse_leaving(b"1"))

    def test_invalid_values_are_named_in_the_error(self):
        for value in INVALID_RATES:
            with ExpectedException(InvalidNoticeError, "rate: got .*expected"):
                parse_rate(value)
        for value in (b"", b"yes", b"1, 1", b"2"):
            with ExpectedException(InvalidNoticeError, "departure: got .*expected"):
                parse_leaving(value)


class TestNoticeTracker(TestCase):
    def test_limit_is_withdrawn_by_a_response_to_a_later_request(self):
        tracker = NoticeTracker()
        self.assertTrue(tracker.record(ServerNotice(6.0), 0.0, 100.0))
        self.assertFalse(tracker.record(ServerNotice(None), 50.0, 110.0))
        self.assertEqual(6.0, tracker.notice.rate)
        self.assertTrue(tracker.record(ServerNotice(None), 100.0, 150.0))
        self.assertIsNone(tracker.notice.rate)

    def test_lower_limit_counts_at_once_and_a_higher_one_only_if_it_is_later(self):
        tracker = NoticeTracker()
        tracker.record(ServerNotice(6.0), 0.0, 100.0)
        self.assertTrue(tracker.record(ServerNotice(3.0), 10.0, 110.0))
        self.assertFalse(tracker.record(ServerNotice(6.0), 105.0, 120.0))
        self.assertTrue(tracker.record(ServerNotice(8.0), 110.0, 130.0))
        self.assertEqual(8.0, tracker.notice.rate)

    def test_departure_is_final(self):
        tracker = NoticeTracker()
        self.assertTrue(tracker.record(ServerNotice(None, True), 0.0, 100.0))
        self.assertFalse(tracker.record(ServerNotice(), 200.0, 300.0))
        self.assertTrue(tracker.notice.is_leaving)


def count_starts(limiter, begin, end):
    """Count the starts if a request waits at each millisecond."""
    n_starts = 0
    for now in range(begin, end):
        if limiter.admits(float(now)):
            limiter.record_start(float(now))
            n_starts += 1
    return n_starts


class TestRateLimiter(TestCase):
    def test_no_four_seconds_have_more_than_the_named_rate_allows(self):
        for rate in (0.0, 0.3, 1.0, 6.0, 24.8, 200.0):
            limiter = RateLimiter(0.0)
            limiter.set_rate(rate, 0.0)
            starts = [count_starts(limiter, t, t + 500) for t in range(0, 20_000, 500)]
            for first in range(len(starts) - 8):
                self.assertLessEqual(
                    sum(starts[first : first + 8]), rate * 4.0 * 1.1 + 2.0, rate
                )

    def test_rate_is_used(self):
        limiter = RateLimiter(0.0)
        limiter.set_rate(6.0, 0.0)
        self.assertGreaterEqual(count_starts(limiter, 0, 10_000), 59)

    def test_repeated_naming_gives_no_tokens(self):
        limiter = RateLimiter(0.0)
        n_starts = 0
        for now in range(0, 4_000, 10):
            limiter.set_rate(6.0 if now % 20 else 6.5, float(now))
            n_starts += count_starts(limiter, now, now + 10)
        self.assertLessEqual(n_starts, 4 * 6.5 + 2)

    def test_withdrawn_limit_ends_gradually(self):
        limiter = RateLimiter(0.0)
        limiter.set_rate(0.0, 0.0)
        self.assertEqual(0, count_starts(limiter, 0, 1_000))
        limiter.set_rate(None, 1_000.0)
        first = count_starts(limiter, 1_000, 1_500)
        second = count_starts(limiter, 1_500, 2_000)
        self.assertLess(first, 5)
        self.assertLess(second, 10)
        self.assertIsNone(limiter.rate(4_001.0))

    def test_limit_named_again_while_the_earlier_one_ends_gives_no_burst(self):
        limiter = RateLimiter(0.0)
        limiter.set_rate(6.0, 0.0)
        count_starts(limiter, 0, 1_000)
        limiter.set_rate(None, 1_000.0)
        limiter.set_rate(6.0, 1_010.0)
        self.assertLessEqual(count_starts(limiter, 1_010, 2_010), 8)
