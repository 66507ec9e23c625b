"""Encoding and decoding of messages between nodes, and rejection of invalid frames."""

import contextlib
import os
import random
from dataclasses import replace

import cbor2
from testtools import TestCase

from fuchsiagap.core.backend_queue.departures import Departure
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest
from fuchsiagap_node.core.mesh.frames import (
    MAX_CONTROL_FRAME_BYTES,
    BadFrame,
    FrameReader,
    decode,
    encode,
)
from fuchsiagap_node.core.mesh.message_level import (
    MESSAGE_LEVEL,
    is_understood,
    message_level,
    with_level,
)
from fuchsiagap_node.core.mesh.messages import (
    NO_CALLS,
    NO_RATE,
    Call,
    Cancel,
    Cleared,
    ConfigQuery,
    DepartureReceipt,
    DownstreamSummary,
    EncodedConfig,
    Hello,
    NoticeReport,
    Ping,
    Pong,
    Reply,
    StalenessReply,
    Status,
)
from fuchsiagap_node.core.mesh.outcome import Answered, MayHaveRun, NotRun
from fuchsiagap_standins.fuzz import mutate

_PREFIX_BYTES = 4
FLAGS = (False, True, False, 7, True)
STATUS = Status("i-1", 8, 3, 2.5, 0.5, False, 7)
MESSAGES = (
    Hello("n-1", "x", "127.0.0.1:1", "hall-a", "certs"),
    STATUS,
    Call(1, "i", b"h", b"b", 9.5, -3, 0, *FLAGS, "r", "read", b"f" * 16),
    Reply(1, Answered(200, b"OK", b"", b"body"), 2, 0.5, DownstreamSummary(0.7, 3)),
    Reply(2, NotRun("leaving", True), 0, 0.0, DownstreamSummary(NO_CALLS, 0)),
    Reply(3, MayHaveRun("link lost"), 0, 0.0, DownstreamSummary(NO_CALLS, 0)),
    Cancel(4),
    Ping(),
    Pong(),
    ConfigQuery(),
    EncodedConfig(2, 3, b"{}"),
    StalenessReply(5, 7, 12.5),
    NoticeReport("i-1", 24.8, False),
    NoticeReport("i-2", NO_RATE, True),
    Crash("i-1 17", "certs", 12.5, frozenset({b"a" * 16, b"b" * 16})),
    HeldRequest(b"a" * 16, "certs", 3, 0.0),
    Cleared((b"a" * 16, b"b" * 16)),
    Departure("n-1", "i-1", 1_700_000_000_000),
    Departure("n-1", "i-1", None, is_revoked=True),
    DepartureReceipt("i-1"),
)
# Messages with fields of level 1, each with the message that level 0 makes of it.
PLAIN_REPLIES = MESSAGES[3:6]
EXTENDED_MESSAGES = (
    (replace(STATUS, speed=250, refusing=0.5), STATUS),
    *(
        (
            reply._replace(
                speed=100, downstream=reply.downstream._replace(covered_keys=12)
            ),
            reply,
        )
        for reply in PLAIN_REPLIES
    ),
)
# Number of mutated frames; set `FUZZ_RUNS` for longer runs, such as 100,000.
N_RUNS = int(os.environ.get("FUZZ_RUNS", "3000"))


def payload(message, level=0):
    """Return the payload of a message's frame."""
    return encode(message, level)[_PREFIX_BYTES:]


def changed(message, index, value):
    """Return the payload of a message with one field replaced."""
    fields = cbor2.loads(payload(message))
    fields[index] = value
    return cbor2.dumps(fields)


class TestMessageLevel(TestCase):
    def test_level_is_read_from_the_identifier_of_a_process(self):
        # An identifier of the earlier release, or a malformed level, must not make a
        # node send fields that end the link.
        for incarnation, level in (
            ("3f9c", 0),
            ("", 0),
            ("3f9c~", 0),
            ("3f9c~0", 0),
            ("3f9c~-1", 0),
            ("3f9c~1x", 0),
            ("3f9c~\u0661", 0),
            (with_level("3f9c"), MESSAGE_LEVEL),
            ("3f9c~1", 1),
            ("3f9c~99", MESSAGE_LEVEL),
        ):
            self.assertEqual(level, message_level(incarnation), incarnation)

    def test_earlier_releases_get_no_message_that_they_would_reject(self):
        for message in MESSAGES:
            is_new = isinstance(message, Departure | DepartureReceipt)
            for level in range(MESSAGE_LEVEL):
                self.assertEqual(not is_new, is_understood(message, level), message)
            self.assertTrue(is_understood(message, MESSAGE_LEVEL), message)


class TestFrames(TestCase):
    def test_each_message_survives_a_round_trip(self):
        for message in MESSAGES:
            self.assertEqual(message, decode(payload(message)))

    def test_extended_message_survives_a_round_trip(self):
        for message, _ in EXTENDED_MESSAGES:
            self.assertEqual(message, decode(payload(message, level=1)))

    def test_earlier_release_gets_no_field_that_it_would_reject(self):
        for message, plain in EXTENDED_MESSAGES:
            self.assertEqual(payload(plain), payload(message))

    def test_fields_with_defaults_are_not_sent(self):
        # They would add bytes to each message of deployments that do not use them.
        for message in MESSAGES:
            self.assertEqual(payload(message), payload(message, level=1))

    def test_departure_with_a_start_time_out_of_range_is_rejected(self):
        for born in (-1, 2**53):
            frame = changed(Departure("n-1", "i-1", 1_000), 3, born)
            with self.assertRaises(BadFrame):
                decode(frame)

    def test_extension_out_of_range_is_rejected(self):
        status, reply, *_ = (payload(m, level=1) for m, _ in EXTENDED_MESSAGES)
        for frame, index, value in (
            (status, -2, -1),
            (status, -2, 1.5),
            (status, -1, 1.1),
            (status, -1, float("nan")),
            (reply, -1, 257),
            (reply, -1, -1),
            (reply, -2, -1),
            (reply, -2, True),
        ):
            fields = cbor2.loads(frame)
            fields[index] = value
            self.assertRaises(BadFrame, decode, cbor2.dumps(fields))

    def test_field_of_a_wrong_type_is_rejected(self):
        for index, value in (
            (1, 5),
            (2, "8"),
            (2, True),
            (2, 2.0),
            (3, None),
            (4, "much"),
            (5, [0.5]),
            (6, 0),
            (7, -1),
            (7, 2**80),
        ):
            frame = changed(STATUS, index, value)
            self.assertRaises(BadFrame, decode, frame)

    def test_number_out_of_range_is_rejected(self):
        for index, value in (
            (2, -1),
            (3, 2**60),
            (4, float("inf")),
            (4, float("nan")),
            (5, 1.5),
            (5, -0.5),
        ):
            self.assertRaises(BadFrame, decode, changed(STATUS, index, value))
        reply = MESSAGES[3]
        for index, value in ((2, -1), (4, float("nan")), (4, -2.0), (5, 2**60)):
            self.assertRaises(BadFrame, decode, changed(reply, index, value))

    def test_truncated_fingerprint_is_rejected(self):
        call, crash, held, cleared = MESSAGES[2], *MESSAGES[-3:]
        for message, index in ((call, 15), (crash, 4), (held, 1), (cleared, 1)):
            self.assertRaises(BadFrame, decode, changed(message, index, b"a" * 15))

    def test_missing_and_additional_fields_are_rejected(self):
        fields = cbor2.loads(payload(STATUS))
        for found in (fields[:-1], [*fields, 1], [], [99], [[1], 2], {"a": 1}, 7):
            self.assertRaises(BadFrame, decode, cbor2.dumps(found))

    def test_unbounded_nesting_is_rejected(self):
        self.assertRaises(BadFrame, decode, b"\x81" * 100_000)

    def test_frame_without_body_that_states_a_large_size_is_rejected(self):
        payload = encode(EncodedConfig(2, 3, bytes(100)))[_PREFIX_BYTES:]
        for size in (MAX_CONTROL_FRAME_BYTES, MAX_CONTROL_FRAME_BYTES + 1):
            reader = FrameReader()
            frame = size.to_bytes(_PREFIX_BYTES, "big") + payload
            if size <= MAX_CONTROL_FRAME_BYTES:
                self.assertEqual([], reader.feed(frame))
            else:
                self.assertRaises(BadFrame, reader.feed, frame)

    def test_mutated_frame_is_decoded_or_raises_bad_frame(self):
        rng = random.Random(1)
        for _ in range(N_RUNS):
            frame = mutate(payload(rng.choice(MESSAGES)), rng)
            with contextlib.suppress(BadFrame):
                decode(frame)
