"""Property test: how bytes are cut into pieces does not change what is read."""

import tracemalloc

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_request import BadRequest, RequestReader
from fuchsiagap_node.core.mesh.http_response import BadResponse, ResponseReader

NAMES = HeaderNames()
MEMORY_BYTES = 400_000
MAX_PEAK_BYTES = 3_000_000
FRAGMENTS = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 503 X\r\nNot-Run: 1\r\n",
    b"GET /a HTTP/1.1\r\nHost: h\r\n",
    b"POST /a HTTP/1.1\r\nHost: h\r\n",
    b"Call-Id: a\r\n",
    b"Call-Id: b\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 70000\r\n",
    b"Connection: close\r\n",
    b"A: ",
    b"\r\n",
    b"1\r\nx\r\n",
    b"0\r\n\r\n",
    b"abc",
    b"\x00",
    b"x" * 3_000,
    b"a: b\r\n" * 2_000,
    b"y" * 70_000,
)
streams = st.lists(
    st.one_of(st.sampled_from(FRAGMENTS), st.binary(max_size=8)), max_size=12
).map(b"".join)
cuts = st.lists(st.integers(1, 80_000), min_size=1, max_size=6)


def pieces(data, sizes):
    """Yield the data in pieces of the given sizes, in turn."""
    start = index = 0
    while start < len(data):
        size = sizes[index % len(sizes)]
        yield data[start : start + size]
        start, index = start + size, index + 1


def read_all(reader, error, data, sizes):
    """Return what a reader returns for the data, and whether it rejects the rest."""
    messages = []
    try:
        for piece in pieces(data, sizes):
            messages += reader.feed(piece)
            if getattr(reader, "is_malformed", False):
                return messages, True
    except error:
        return messages, True
    return messages, False


class TestPieces(TestCase):
    def check(self, make_reader, error, data, sizes):
        tracemalloc.start()
        whole = read_all(make_reader(), error, data, [len(data) or 1])
        cut = read_all(make_reader(), error, data, sizes)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertLess(peak, MAX_PEAK_BYTES)
        self.assertEqual(whole[1], cut[1])
        # Messages ahead of malformed data in one piece may be rejected with it.
        n = len(whole[0])
        self.assertEqual(whole[0], cut[0][:n] if whole[1] else cut[0])

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(streams, cuts)
    def test_outcome_does_not_depend_on_how_the_bytes_are_cut(self, data, sizes):
        self.check(
            lambda: ResponseReader(NAMES, BodyMemory(MEMORY_BYTES)),
            BadResponse,
            data,
            sizes,
        )

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(streams, cuts)
    def test_requests_do_not_depend_on_how_the_bytes_are_cut(self, data, sizes):
        self.check(
            lambda: RequestReader(NAMES, CallerLimits(), BodyMemory(MEMORY_BYTES)),
            BadRequest,
            data,
            sizes,
        )
