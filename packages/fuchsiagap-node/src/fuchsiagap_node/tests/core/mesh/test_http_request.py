"""Requests of which a part has no end."""

import tracemalloc

from testtools import TestCase

from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_request import BadRequest, RequestReader

HEAD = b"POST /a HTTP/1.1\r\nHost: api.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Parts of a request by name: what precedes the part, what it repeats without end, and
# the status that it is rejected with.
ENDLESS_PARTS = {
    "target": (b"GET /", b"x", 431),
    "header name": (HEAD, b"a", 431),
    "header value": (HEAD + b"A: ", b"x", 431),
    "headers": (HEAD, b"a: b\r\n", 431),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n", 431),
    "chunk extension": (CHUNKED + b"1;", b"x", 431),
    "line breaks": (b"", b"\r\n", 431),
    "small chunks": (CHUNKED, b"1\r\nx\r\n", 400),
}


class TestRequestsWithoutEnd(TestCase):
    def test_part_without_end_is_rejected(self):
        for name, (prefix, unit, status) in ENDLESS_PARTS.items():
            for block_bytes in (65_536, 512):
                reader = RequestReader(HeaderNames(), CallerLimits())
                block = unit * (block_bytes // len(unit))
                tracemalloc.start()
                n_read, found = 0, None
                try:
                    reader.feed(prefix)
                    while n_read < 600_000:
                        reader.feed(block)
                        n_read += len(block)
                except BadRequest as exc:
                    found = exc.status
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                self.assertEqual(status, found, name)
                self.assertLess(peak, 4_000_000, name)
