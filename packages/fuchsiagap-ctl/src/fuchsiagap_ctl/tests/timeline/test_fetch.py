"""Fetching of event rings that have more pages than are read, or empty ones."""

import trio
from testtools import TestCase

from fuchsiagap_ctl.admin_client import Reply
from fuchsiagap_ctl.fleet import FleetNode
from fuchsiagap_ctl.timeline import fetch as fetch_module
from fuchsiagap_ctl.timeline.fetch import EventFilter, fetch
from fuchsiagap_ctl.timeline.text import gap_lines, json_lines

NODE = FleetNode("n-1", "hall-a", "alive", "127.0.0.1:1")


class Ring:
    """Answers requests for events with full or empty pages, without end."""

    def __init__(self, events_per_page):
        self._events_per_page = events_per_page
        self.n_requests = 0

    async def request(self, node, method, path, params, with_token):
        self.n_requests += 1
        first = int(params["after"]) + 1
        events = [
            {
                "stamp": first + number,
                "process": "n-1",
                "kind": "call-received",
                "call_id": "c",
                "root_id": "r",
                "detail": {},
            }
            for number in range(self._events_per_page)
        ]
        return Reply(node, 200, {"events": events, "overwritten": False, "more": True})


def fetch_from(ring):
    """Return the timeline of one node."""
    return trio.run(fetch, ring, [NODE], EventFilter(), lambda _: None)


class TestFetch(TestCase):
    def test_ring_with_more_pages_than_are_read_is_incomplete(self):
        ring = Ring(events_per_page=2)
        timeline = fetch_from(ring)
        self.assertEqual(fetch_module._MAX_PAGES, ring.n_requests)
        self.assertEqual(2 * ring.n_requests, len(timeline.events))
        self.assertFalse(timeline.complete)
        self.assertIn("truncated: events of n-1", "\n".join(gap_lines(timeline)))
        self.assertIn('"truncated": ["n-1"]', list(json_lines(timeline))[-1])

    def test_empty_page_that_announces_more_ends_the_fetch(self):
        ring = Ring(events_per_page=0)
        timeline = fetch_from(ring)
        self.assertEqual(1, ring.n_requests)
        self.assertFalse(timeline.complete)
