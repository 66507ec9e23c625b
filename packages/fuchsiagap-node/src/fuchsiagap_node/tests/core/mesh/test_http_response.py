"""Responses that are cut short and followed by others, and parts without an end."""

import string
import tracemalloc

from testtools import TestCase

from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_response import BadResponse, ResponseReader
from fuchsiagap_node.core.mesh.stream import READ_BYTES

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


class TestVersions(TestCase):
    def test_response_of_another_version_is_malformed(self):
        response = b"HTTP/%s 200 OK\r\nCall-Id: new\r\nContent-Length: 2\r\n\r\nok"
        for version in (b"0.9", b"1.2", b"2.0", b"3.0", b"9.9", b"11"):
            self.assertIsNone(read(response % version), version)
        for version in (b"1.0", b"1.1"):
            (found,) = read(response % version)
            self.assertEqual(200, found.status)


class TestStatuses(TestCase):
    def test_status_outside_of_the_range_of_http_is_malformed(self):
        response = b"HTTP/1.1 %03d X\r\nCall-Id: new\r\nContent-Length: 2\r\n\r\nok"
        for status in (0, 1, 20, 99, 101, 600, 700, 999, 1_000):
            self.assertIsNone(read(response % status), status)
            self.assertIsNone(read(b"HTTP/1.1 %03d X\r\n\r\n" % status), status)
        for status in (200, 599):
            (found,) = read(response % status)
            self.assertEqual(status, found.status)

    def test_end_after_an_informational_response_completes_no_response(self):
        for status in (100, 102, 103, 199):
            reader = ResponseReader(NAMES)
            data = b"HTTP/1.1 %d X\r\nCall-Id: new\r\n\r\n" % status
            self.assertEqual([], reader.feed(data))
            self.assertEqual([], reader.end())

    def test_reason_phrase_with_a_control_byte_is_malformed(self):
        head = b"HTTP/1.1 200 O%sK\r\nCall-Id: new\r\nContent-Length: 2\r\n\r\nok"
        for number in CONTROL_BYTES:
            self.assertIsNone(read(head % bytes([number])), number)
        for byte in (b"\t", b" ", b"\xe9"):
            (found,) = read(head % byte)
            self.assertEqual(b"O" + byte + b"K", found.reason)

    def test_informational_responses_precede_the_final_one(self):
        for status in (100, 102, 103, 199):
            (found,) = read(b"HTTP/1.1 %d X\r\n\r\n" % status + ANSWER)
            self.assertEqual(200, found.status)


# Bytes of which the name of a field may consist (RFC 9110, 5.6.2).
NAME_BYTES = b"!#$%&'*+-.^_`|~" + (string.digits + string.ascii_letters).encode()
CONTROL_BYTES = {*range(32), 127} - {ord("\t")}


class TestFields(TestCase):
    def response_with(self, line, rest=b"Content-Length: 2\r\n\r\nok"):
        """Return the responses read from one with a line in its head."""
        return read(b"HTTP/1.1 200 OK\r\nCall-Id: new\r\n" + line + b"\r\n" + rest)

    def test_name_with_a_byte_that_no_name_has_is_malformed(self):
        for number in {*range(256)} - {*NAME_BYTES, ord(":")}:
            byte = bytes([number])
            for name in (byte + b"ab", b"a" + byte + b"b", b"ab" + byte):
                self.assertIsNone(self.response_with(name + b": v"), name)

    def test_value_with_a_control_byte_is_malformed(self):
        for number in CONTROL_BYTES:
            line = b"Name: v" + bytes([number]) + b"w"
            self.assertIsNone(self.response_with(line), line)

    def test_line_that_is_no_field_is_malformed(self):
        for line in (b"name", b" name: v", b"\tname: v", b": v", b"Name: v\r\n w"):
            self.assertIsNone(self.response_with(line), line)

    def test_transfer_coding_other_than_chunked_is_malformed(self):
        chunks = b"\r\n2\r\nok\r\n0\r\n\r\n"
        line = b"Transfer-Encoding: "
        for codings in (b"gzip, chunked", b"chunked, chunked", b"chunked, gzip", b"x"):
            self.assertIsNone(self.response_with(line + codings, chunks), codings)
        twice = line + b"chunked\r\n" + line + b"chunked"
        self.assertIsNone(self.response_with(twice, chunks))
        for coding in (b"chunked", b"Chunked", b"\tchunked "):
            (found,) = self.response_with(line + coding, chunks)
            self.assertEqual(b"ok", found.body)

    def test_name_like_that_of_the_length_is_malformed(self):
        for line in (b"Content Length: 2", b"Content-Length : 2", b"Content-Length: 3"):
            self.assertIsNone(self.response_with(line), line)
        chunks = b"\r\n2\r\nok\r\n0\r\n\r\n"
        for line in (b"Transfer-Encoding\t: chunked", b"Transfer Encoding: chunked"):
            self.assertIsNone(self.response_with(line, chunks), line)


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Parts of a response by name: what precedes the part, and what it repeats without end.
ENDLESS_PARTS = {
    "status line": (b"HTTP/1.1 200 O", b"o"),
    "header name": (HEAD, b"a"),
    "header value": (HEAD + b"A: ", b"x"),
    "headers": (HEAD, b"a: b\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "line breaks": (b"", b"\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
}


def read_until_rejected(prefix, unit, block_bytes, memory=None):
    """Return how many bytes are read before a response is rejected, and the memory."""
    reader = ResponseReader(NAMES, memory)
    block = unit * max(block_bytes // len(unit), 1)
    n_read = len(prefix)
    tracemalloc.start()
    try:
        reader.feed(prefix)
        while n_read < 8_000_000:
            reader.feed(block)
            n_read += len(block)
    except BadResponse as exc:
        return n_read, tracemalloc.get_traced_memory()[1], exc.part
    finally:
        tracemalloc.stop()
    return n_read, tracemalloc.get_traced_memory()[1], None


class TestResponsesWithoutEnd(TestCase):
    def test_part_without_end_is_rejected(self):
        for name, (prefix, unit) in ENDLESS_PARTS.items():
            for block_bytes in (READ_BYTES, 512):
                n_read, peak, part = read_until_rejected(prefix, unit, block_bytes)
                self.assertIsNotNone(part, name)
                self.assertLess(n_read, 600_000, name)
                self.assertLess(peak, 4_000_000, name)

    def test_part_without_end_is_rejected_when_it_comes_byte_by_byte(self):
        for name in ("header value", "headers", "trailers"):
            n_read, _, part = read_until_rejected(*ENDLESS_PARTS[name], 1)
            self.assertIsNotNone(part, name)
            self.assertLess(n_read, 200_000, name)

    def test_small_chunks_are_joined(self):
        reader = ResponseReader(NAMES)
        reader.feed(CHUNKED)
        tracemalloc.start()
        for _ in range(16):
            reader.feed(b"2\r\nxy\r\n" * 1_000)
        (response,) = reader.feed(b"0\r\n\r\n")
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertEqual(b"xy" * 16_000, response.body)
        self.assertLess(peak, 300_000)

    def test_body_of_unknown_length_takes_half_of_the_memory_at_most(self):
        for prefix, unit in (
            (HEAD + b"\r\n", b"x"),
            (CHUNKED, b"1000\r\n" + 4_096 * b"x" + b"\r\n"),
        ):
            memory = BodyMemory(2_000_000)
            n_read, _, part = read_until_rejected(prefix, unit, READ_BYTES, memory)
            self.assertEqual("body", part)
            self.assertLess(n_read, 1_100_000)
            self.assertLessEqual(memory.held, 1_000_000)

    def test_usual_responses_are_read(self):
        lines = b"".join(b"Name-%d: %s\r\n" % (n, b"v" * 1_000) for n in range(50))
        informational = b"HTTP/1.1 102 Processing\r\n\r\n" * 20
        data = informational + HEAD + lines + b"Content-Length: 2\r\n\r\nok"
        (response,) = ResponseReader(NAMES).feed(data)
        self.assertEqual((200, b"ok"), (response.status, response.body))
