"""Responses that are cut short and followed by others, and parts without an end."""

from testtools import TestCase

from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_response import BadResponse, ResponseReader

NAMES = HeaderNames()
ANSWER = b"HTTP/1.1 200 OK\r\nCall-Id: new\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = (
    b"HTTP/1.1 %s\r\nLoad: 1\r\nKeep-Alive: timeout=9\r\n%sCall-Id: old\r\n"
    b"Content-Length: 3\r\n\r\nold"
)


def read(data):
    """Return the responses in `data`, or None if it is malformed."""
    try:
        return ResponseReader(NAMES).feed(data)
    except BadResponse:
        return None


class TestTruncatedResponses(TestCase):
    def test_truncated_refusal_is_not_joined_to_the_next_response(self):
        not_run = NAMES.not_run + b": 1\r\n"
        for status in (b"503 Service Unavailable", b"421 Misdirected Request"):
            refusal = REFUSAL % (status, not_run)
            for size in range(1, len(refusal)):
                responses = read(refusal[:size] + ANSWER) or []
                joined = [
                    r
                    for r in responses
                    if r.request_id == "new" and (r.status != 200 or r.not_run)
                ]
                self.assertEqual([], joined, refusal[:size])

    def test_response_with_two_identifiers_is_malformed(self):
        head = b"HTTP/1.1 503 X\r\nCall-Id: old\r\nCall-Id: %s\r\nContent-Length: 0\r\n"
        self.assertIsNone(read(head % b"new" + b"\r\n"))
        self.assertEqual(1, len(read(head % b"old" + b"\r\n")))

    def test_trailer_of_a_response_is_no_header(self):
        chunked = (
            b"HTTP/1.1 503 X\r\nCall-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n%s: 1\r\nCall-Id: old\r\n\r\n" % NAMES.not_run
        )
        (response,) = read(chunked)
        self.assertFalse(response.not_run)
        self.assertEqual("new", response.request_id)
        self.assertNotIn(NAMES.not_run, response.headers)
