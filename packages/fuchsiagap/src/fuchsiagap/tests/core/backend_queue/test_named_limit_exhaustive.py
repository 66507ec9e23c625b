"""All orders of restarts and outdated statements around a server with a limit.

A server names a limit in each response. In each second requests wait or not, the node
beside it may be restarted, with the statement that other nodes return to it, or another
node may send it an outdated one. No four seconds from the first ones on may have more
requests than one and a half times the limit allows, and five more.
"""

import itertools
from collections import deque

from testtools import TestCase

from fuchsiagap.core.backend_queue.named_limit import (
    NO_NOTICE,
    NoticeTracker,
    RateLimiter,
    ServerNotice,
)

SECONDS = 8
TICK_MS = 50
WINDOW_MS = 4_000
# Milliseconds after the first statement from which the limit is checked.
CONTACT_MS = 500
RATES = (0.0, 1.0, 6.0, 40.0)
EVENTS = ("nothing", "restart", "outdated", "idle")
# Requests that wait at each moment, and milliseconds from a request to its response.
MAX_STARTS = 100
RESPONSE_MS = 300.0


class NodeBeside:
    """Tracker and limiter of the node beside the server, as it combines them."""

    def __init__(self, now, remembered=NO_NOTICE):
        self.tracker = NoticeTracker()
        self.limiter = RateLimiter(now)
        if remembered != NO_NOTICE:
            self.record(remembered, float("-inf"), now)

    def record(self, notice, sent_at, now):
        """Record a statement and apply it to the limiter."""
        if self.tracker.record(notice, sent_at, now):
            self.limiter.set_rate(self.tracker.notice.rate, now)


def play(rate, events):
    """Return the times of requests at the server, one event at each full second."""
    node = NodeBeside(0.0)
    node.record(ServerNotice(rate), 0.0, 0.0)
    starts = []
    responses = deque()
    for number, event in enumerate(events):
        begin = number * 1_000.0
        match event:
            case "restart":
                node = NodeBeside(begin, node.tracker.notice)
                responses.clear()
            case "outdated":
                node.record(ServerNotice(rate * 4.0 + 8.0), float("-inf"), begin)
                node.record(NO_NOTICE, float("-inf"), begin)
        for tick in range(0, 1_000, TICK_MS):
            now = begin + tick
            while responses and responses[0] + RESPONSE_MS <= now:
                node.record(ServerNotice(rate), responses.popleft(), now)
            n_started = 0
            while (
                event != "idle" and n_started < MAX_STARTS and node.limiter.admits(now)
            ):
                node.limiter.record_start(now)
                starts.append(now)
                responses.append(now)
                n_started += 1
    return starts


class TestNamedLimitExhaustive(TestCase):
    def test_no_order_exceeds_the_limit(self):
        for rate in RATES:
            allowed = 1.5 * rate * WINDOW_MS / 1_000.0 + 5.0
            for events in itertools.product(EVENTS, repeat=SECONDS - 2):
                starts = play(rate, ("nothing", *events, "nothing"))
                checked = [at for at in starts if at >= CONTACT_MS]
                for index, first in enumerate(checked):
                    last = index + int(allowed)
                    if last < len(checked):
                        self.assertGreaterEqual(
                            checked[last] - first, WINDOW_MS, f"{rate}: {events}"
                        )
