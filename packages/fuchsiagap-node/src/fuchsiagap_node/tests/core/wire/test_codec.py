"""Malformed frames are rejected and never become partially filled messages."""

from __future__ import annotations

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from fuchsiagap.core.calls.outcome import Answered
from fuchsiagap_node.core.wire.codec import MalformedFrame, decode, encode, to_array
from fuchsiagap_node.core.wire.messages_call import CallMessage
from fuchsiagap_standins.builders import a_head, a_ticket, outcomes

_PLAIN = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 70)
    | st.floats(allow_nan=False)
    | st.text(max_size=4)
    | st.binary(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=2), inner, max_size=2)
    ),
    max_leaves=20,
)


class TestCodec(TestCase):
    def test_round_trip(self) -> None:
        for msg in (*outcomes(), CallMessage(a_head(ticket=a_ticket()), b"body")):
            self.assertEqual(msg, decode(encode(msg)))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=40))
    def test_any_bytes(self, data: bytes) -> None:
        decode(data)

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(_PLAIN)
    def test_any_cbor(self, value: object) -> None:
        decode(cbor2.dumps(value))

    def test_each_field_of_a_wrong_type(self) -> None:
        valid = to_array(CallMessage(a_head(), b"body"))
        head = valid[1]
        for number in range(len(head)):
            broken = [*head[:number], {"no": "such"}, *head[number + 1 :]]
            got = decode(cbor2.dumps([valid[0], broken, valid[2]]))
            self.assertIsInstance(got, MalformedFrame, f"field {number}")

    def test_too_few_and_too_many_fields(self) -> None:
        valid = to_array(CallMessage(a_head(), b"body"))
        for value in (valid[:-1], [*valid, 1], [valid[0], valid[1][:-1], valid[2]]):
            self.assertIsInstance(decode(cbor2.dumps(value)), MalformedFrame)

    def test_boolean_is_neither_a_tag_nor_a_number(self) -> None:
        valid = to_array(CallMessage(a_head(), b"body"))
        answered = to_array(next(o for o in outcomes() if isinstance(o, Answered)))
        self.assertEqual(1, answered[0])
        got = decode(cbor2.dumps([True, *answered[1:]]))
        self.assertIsInstance(got, MalformedFrame)
        self.assertNotIsInstance(decode(cbor2.dumps(valid)), MalformedFrame)

    def test_fault_names_the_field(self) -> None:
        valid = to_array(CallMessage(a_head(), b"body"))
        got = decode(cbor2.dumps([valid[0], valid[1], "text"]))
        assert isinstance(got, MalformedFrame)
        self.assertIn("CallMessage.body: expected bytes, got 'text'", got.detail)
