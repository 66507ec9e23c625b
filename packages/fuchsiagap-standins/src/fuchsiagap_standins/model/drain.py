"""Specification of a planned stop: no new calls are accepted, and none is cut off.

Each peer has one ordered link to the draining node. If a link breaks, its frames are
lost and the peer may reconnect. The draining node stops when no call runs and all
connected peers have acknowledged the drain notice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from fuchsiagap_standins.model import implementations
from fuchsiagap_standins.model.spec import ENVIRONMENT, Action, Spec

if TYPE_CHECKING:
    from collections.abc import Iterator

# Names of the bugs that can be planted.
BREAKS = ("skip-drain-notice", "stop-with-work", "work-while-leaving")

# States of the draining node; `LEAVING` from the start of the drain to the stop.
UP, LEAVING, STOPPED = "up", "leaving", "stopped"
# Frames on a link.
CALL, ACK, NOTICE = "call", "ack", "notice"


class Peer(NamedTuple):
    """Another node and its link to the draining node.

    Attributes
    ----------
    connected : bool
        Whether the link is up.
    knows : bool
        Whether the peer knows that the node is draining.
    acknowledged : bool
        Whether the draining node has received the peer's acknowledgement.
    to, back : tuple of str
        Frames in flight to the draining node and from it.
    calls : int
        Number of calls sent so far.
    """

    connected: bool = True
    knows: bool = False
    acknowledged: bool = False
    to: tuple[str, ...] = ()
    back: tuple[str, ...] = ()
    calls: int = 0


class State(NamedTuple):
    """State of the draining node and its peers.

    Attributes
    ----------
    node : str
        State of the draining node.
    running : int
        Number of running calls.
    peers : tuple of Peer
        All peers.
    cut : bool
        Whether the node stopped with a call running or in flight to it.
    late_work : bool
        Whether the node accepted a call while draining.
    """

    node: str
    running: int
    peers: tuple[Peer, ...]
    cut: bool
    late_work: bool


def drain_spec(peers: int, calls: int, bugs: frozenset[str] = frozenset()) -> Spec:
    """Return the specification of a planned stop.

    Parameters
    ----------
    peers : int
        Number of other nodes.
    calls : int
        Maximum number of calls that each of them sends.
    bugs : frozenset of str
        Names of planted bugs, from `BREAKS`.

    Returns
    -------
    Spec
        The specification.
    """

    def call(state: State) -> Iterator[State]:
        for index, peer in enumerate(state.peers):
            if peer.connected and not peer.knows and peer.calls < calls:
                sent = peer._replace(calls=peer.calls + 1, to=(*peer.to, CALL))
                yield _with_peer(state, index, sent)

    def receive(state: State) -> Iterator[State]:
        for index, peer in enumerate(state.peers):
            if state.node == STOPPED or not peer.to:
                continue
            frame, rest = peer.to[0], peer.to[1:]
            read = peer._replace(
                to=rest, acknowledged=peer.acknowledged or frame == ACK
            )
            following = _with_peer(state, index, read)
            if frame == CALL and _accepts_work(state, bugs):
                late = state.late_work or state.node == LEAVING
                following = following._replace(
                    running=state.running + 1, late_work=late
                )
            yield following

    def finish(state: State) -> Iterator[State]:
        if state.running and state.node != STOPPED:
            yield state._replace(running=state.running - 1)

    def leave(state: State) -> Iterator[State]:
        if state.node != UP:
            return
        notified = tuple(
            p._replace(back=(*p.back, NOTICE)) if p.connected else p
            for p in state.peers
        )
        if "skip-drain-notice" in bugs:
            notified = state.peers
        yield state._replace(node=LEAVING, peers=notified)

    def receive_notice(state: State) -> Iterator[State]:
        for index, peer in enumerate(state.peers):
            if peer.connected and peer.back:
                informed = peer._replace(
                    knows=True, back=peer.back[1:], to=(*peer.to, ACK)
                )
                yield _with_peer(state, index, informed)

    def gossip(state: State) -> Iterator[State]:
        if any(peer.knows for peer in state.peers):
            for index, peer in enumerate(state.peers):
                if not peer.knows:
                    yield _with_peer(state, index, peer._replace(knows=True))

    def break_link(state: State) -> Iterator[State]:
        for index, peer in enumerate(state.peers):
            if peer.connected and state.node != STOPPED:
                lost = peer._replace(
                    connected=False, to=(), back=(), acknowledged=False
                )
                yield _with_peer(state, index, lost)

    def dial(state: State) -> Iterator[State]:
        for index, peer in enumerate(state.peers):
            if peer.connected or state.node == STOPPED or peer.calls >= calls:
                continue
            is_notified = state.node == LEAVING and "skip-drain-notice" not in bugs
            back = (NOTICE,) if is_notified else ()
            yield _with_peer(state, index, peer._replace(connected=True, back=back))

    def stop(state: State) -> Iterator[State]:
        idle = not state.running or "stop-with-work" in bugs
        all_acknowledged = all(p.acknowledged for p in state.peers if p.connected)
        if (
            state.node == LEAVING
            and idle
            and (all_acknowledged or "skip-drain-notice" in bugs)
        ):
            cut = bool(state.running) or any(CALL in p.to for p in state.peers)
            yield state._replace(node=STOPPED, cut=cut, running=0)

    return Spec(
        name="drain",
        initial=State(UP, 0, (Peer(),) * peers, False, False),
        actions=(
            Action("peer sends a call", implementations.DISPATCH, call),
            Action("node reads a frame", implementations.GATE_ENTER, receive),
            Action("a call ends", implementations.SERVE, finish),
            Action("node begins to drain", implementations.DRAIN, leave),
            Action(
                "peer receives the notice", implementations.DRAIN_HEAR, receive_notice
            ),
            Action(
                "peer learns it from another peer", implementations.GOSSIP_APPLY, gossip
            ),
            Action("a link breaks", ENVIRONMENT, break_link),
            Action("peer dials again", implementations.LINK_ASK, dial),
            Action("node stops", implementations.DRAIN, stop),
        ),
        invariants={
            "no_call_cut": lambda s: not s.cut,
            "no_work_after_leaving": lambda s: not s.late_work,
        },
        goal=lambda s: s.node == STOPPED,
    )


def _accepts_work(state: State, bugs: frozenset[str]) -> bool:
    return state.node == UP or "work-while-leaving" in bugs


def _with_peer(state: State, index: int, peer: Peer) -> State:
    peers = (*state.peers[:index], peer, *state.peers[index + 1 :])
    return state._replace(peers=peers)
