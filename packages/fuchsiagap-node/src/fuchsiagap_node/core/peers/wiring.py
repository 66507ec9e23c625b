"""Connects the links of a node with its message handlers and its telemetry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.telemetry import call_telemetry
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap_node.core.peers.conn import WireContext

if TYPE_CHECKING:
    from fuchsiagap.core.telemetry.telemetry import Telemetry
    from fuchsiagap_node.core.config import NodeConfig
    from fuchsiagap_node.core.peers.handlers import Handlers
    from fuchsiagap_node.core.wire.messages_call import Hello

# Occurrences that have a counter of their own; others count as link faults by name.
_COUNTERS = {
    "malformed_frame": Counter.MALFORMED_FRAMES,
    "late_reply_dropped": Counter.LATE_ANSWERS,
    "crossed_reply_dropped": Counter.CROSSED_ANSWERS,
}


def make_wire_context(
    cfg: NodeConfig, hello: Hello, handlers: Handlers, telemetry: Telemetry
) -> WireContext:
    """Return the context that all links of a node share.

    Parameters
    ----------
    cfg : NodeConfig
        Configuration, with the limits of a link.
    hello : Hello
        Introduction of this node.
    handlers : Handlers
        Handlers of the messages from other nodes.
    telemetry : Telemetry
        Receives the counts and reports of the links.
    """
    count = telemetry.metrics.count

    def observe(stamp: int) -> None:
        telemetry.hlc.observe(stamp)

    def count_fault(name: str) -> None:
        counter = _COUNTERS.get(name)
        if counter is None:
            count(Counter.LINK_FAULTS, name)
        else:
            count(counter)

    def count_sent(n_bytes: int) -> None:
        count(Counter.FRAMES_SENT)
        count(Counter.BYTES_SENT, amount=n_bytes)

    def count_received(n_bytes: int) -> None:
        count(Counter.FRAMES_RECEIVED)
        count(Counter.BYTES_RECEIVED, amount=n_bytes)

    def record_late_reply(call_id: str, root_id: str) -> None:
        call_telemetry.record_late_answer(telemetry, call_id, root_id)

    def record_incomplete_reply(call_id: str, root_id: str) -> None:
        call_telemetry.record_incomplete_answer(telemetry, call_id, root_id, "node")

    def report_unsolicited_reply(peer: str, number: int) -> None:
        telemetry.ring.record(EventKind.CROSSED_ANSWER_DROPPED, peer=peer)
        detail = f"{peer} sent a reply to request {number}, never made on its link"
        telemetry.report_violation(Invariant.WRONG_ANSWER, detail)

    return WireContext(
        hello=hello,
        handlers=handlers,
        stamp=telemetry.hlc.tick,
        observe=observe,
        max_concurrent_requests=cfg.limits.link_calls,
        count=count_fault,
        count_sent=count_sent,
        count_received=count_received,
        record_late_reply=record_late_reply,
        record_incomplete_reply=record_incomplete_reply,
        report_unsolicited_reply=report_unsolicited_reply,
        max_queued_messages=cfg.limits.link_queue_frames,
    )
