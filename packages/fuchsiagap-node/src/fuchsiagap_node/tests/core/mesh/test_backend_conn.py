"""Additional bytes of a server ahead of the answer to a call."""

from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from fuchsiagap_node.core.mesh.backend_conn import BackendConn
from fuchsiagap_node.core.mesh.messages import Call
from fuchsiagap_node.core.mesh.outcome import Answered, NotRun
from fuchsiagap_node.core.mesh.settings import Addresses, MeshSettings
from fuchsiagap_node.core.mesh.stream import EndedStream

CFG = MeshSettings(
    "n-1", "hall-a", "certs", "10.0.0.1", "10.0.0.1:1", Addresses(*4 * ("",)), ""
)
ANSWER = b"HTTP/1.1 200 OK\r\nCall-Id: new\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = b"HTTP/1.1 %s\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"
STATUSES = (b"503 Service Unavailable", b"421 Misdirected Request", b"400 X", b"200 OK")
ID_LINES = (
    b"",
    b"Call-Id: old\r\n",
    b"Call-Id: \r\n",
    b"Call-Id: old\r\nLoad: 1,0\r\n",
)


class FakeStream:
    """Connection that accepts everything that is sent."""

    def send_parts(self, _):
        return []

    def close(self):
        pass


def a_call(request_id):
    flags = (False, False, False, 7, False)
    times = (500.0, 500, 0)
    return Call(1, "i-1", b"", b"", *times, *flags, request_id, "write", b"f" * 16)


def outcomes_of(pieces):
    """Return the outcomes of a call for which a server sends pieces of data."""
    conn = BackendConn(CFG, SimpleNamespace(now=lambda: 0.0))
    conn._stream = FakeStream()
    conn.send(a_call("new"), 500.0)
    outcomes = []
    conn._on_read = lambda _, outcome: outcomes.append(outcome)
    for piece in pieces:
        if conn.closed or any(outcomes):
            break
        conn._handle_data(piece)
    if not conn.closed and not any(outcomes):
        conn._handle_end(EndedStream("closed by the peer"))
    return [outcome for outcome in outcomes if outcome is not None]


@st.composite
def additional_bytes(draw):
    """Draw refusals that name no request or another one, whole or truncated."""
    refusal = REFUSAL % (
        draw(st.sampled_from(STATUSES)),
        draw(st.sampled_from(ID_LINES)),
    )
    return refusal[: draw(st.integers(0, len(refusal)))] * draw(st.integers(1, 3))


class TestAdditionalBytes(TestCase):
    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(st.lists(additional_bytes(), max_size=3), st.integers(1, 200))
    def test_additional_bytes_never_become_a_promise_that_a_call_did_not_run(
        self, additional, piece_bytes
    ):
        data = b"".join(additional) + ANSWER
        starts = range(0, len(data), piece_bytes)
        outcomes = outcomes_of([data[at : at + piece_bytes] for at in starts])
        self.assertEqual(1, len(outcomes))
        self.assertNotIsInstance(outcomes[0], NotRun)

    def test_answer_behind_whole_additional_responses_is_found(self):
        for status in STATUSES:
            for id_line in ID_LINES:
                for n in (1, 4):
                    data = n * (REFUSAL % (status, id_line)) + ANSWER
                    (outcome,) = outcomes_of([data])
                    self.assertIsInstance(outcome, Answered)
                    self.assertEqual((200, b"ok"), (outcome.status, outcome.body))
