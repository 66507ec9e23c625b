"""Frames with large bodies: same format as others, and no copies of the body."""

import random
import tracemalloc

from testtools import TestCase

from fuchsiagap_node.core.mesh.frames import (
    BadFrame,
    FrameReader,
    encode,
    encode_parts,
)
from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES
from fuchsiagap_node.core.mesh.messages import Call, DownstreamSummary, Reply
from fuchsiagap_node.core.mesh.outcome import Answered

READ_BYTES = 65_536


def a_call(body):
    """Return a call with a body."""
    flags = (False, False, False, 0, True)
    rest = ("r1", "write", bytes(16))
    return Call(
        300, "i-certs-1", b"POST / HTTP/1.1\r\n", body, 9.5, 500, 0, *flags, *rest
    )


def a_reply(body):
    """Return a reply with an answer."""
    answer = Answered(200, b"OK", b"Request-Id: r1\r\n", body)
    return Reply(70_000, answer, 3, 0.5, DownstreamSummary(0.25, 2))


def peak_bytes(function):
    """Return the result of a function, and the most memory allocated in it."""
    tracemalloc.start()
    try:
        return function(), tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class TestLargeFrames(TestCase):
    def test_parts_are_the_same_bytes_as_an_undivided_frame(self):
        rng = random.Random(1)
        for size in (0, LARGE_BODY_BYTES - 1, LARGE_BODY_BYTES, 3_000_000):
            body = rng.randbytes(size)
            for message in (a_call(body), a_reply(body)):
                for level in (0, 1):
                    frame = encode(message, level)
                    self.assertEqual(frame, b"".join(encode_parts(message, level)))
                    self.assertEqual([message], FrameReader().feed(frame))

    def test_body_is_not_copied_when_sent_and_once_when_received(self):
        body = bytes(8_000_000)
        parts, peak = peak_bytes(lambda: encode_parts(a_call(body)))
        self.assertLess(peak, 0.1 * len(body))
        frame = b"".join(parts)
        reader = FrameReader()

        def receive():
            for start in range(0, len(frame), READ_BYTES):
                messages = reader.feed(frame[start : start + READ_BYTES])
            return messages

        messages, peak = peak_bytes(receive)
        self.assertEqual(body, messages[0].body)
        # What was received, with the reserve of a growing buffer, and the body.
        self.assertLess(peak, 2.3 * len(body))

    def test_malformed_large_frame_ends_the_link(self):
        frame = bytearray(encode(a_call(bytes(LARGE_BODY_BYTES))))
        for index in range(4, 60):
            for value in (0x00, 0x5B, 0x9F, 0xFF):
                changed = frame[:index] + bytes([value]) + frame[index + 1 :]
                try:
                    FrameReader().feed(bytes(changed))
                except BadFrame:
                    continue
