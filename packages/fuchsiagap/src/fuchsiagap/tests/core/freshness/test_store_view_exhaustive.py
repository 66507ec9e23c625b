"""Model checking of `StoreView` and `ConfigFreshness` over all orders of events.

The store may be unresponsive once, and may be restored once from a backup that was
taken after the first version; what it lost is written again within the settling time.
It may compact its history once: open watches are cut or never answered, and so are
later ones from a lost revision, unless they fail or report no change.
Nodes read, watch from their cursor, probe, and pass on their state; one node is killed
once and restarts without state. In every reachable state, no node returns to an older
version, none fails to reach the newest one, and none has an `as_of` that is too late.
"""

import os
from dataclasses import dataclass, replace

from testtools import TestCase

from fuchsiagap.core.freshness.config_freshness import ConfigFreshness
from fuchsiagap.core.freshness.store_view import Cursor, PositionCheck, StoreView

# For a longer run: `RETURN_NODES=3`.
N_NODES = int(os.environ.get("RETURN_NODES", "2"))
N_VERSIONS = 3
# Steps explored; for a longer run: `RETURN_STEPS=7`.
MAX_DEPTH = int(os.environ.get("RETURN_STEPS", "6"))
# Settling time: steps within which the operator writes lost versions again.
SETTLE_STEPS = 6
# Requests within which a node has to watch a responsive store at the newest version.
MAX_REQUESTS = 4
NEVER = float("-inf")


@dataclass(frozen=True)
class Answer:
    """An answer of the store; without a cursor if it lacks the history."""

    is_watch: bool
    asked_at: int
    cursor: Cursor | None
    version: int | None


@dataclass(frozen=True)
class Node:
    """State of one node, and the request or answer that it waits for."""

    in_force: int = 0
    stored_at: Cursor | None = None
    freshness: tuple = (NEVER, 0, NEVER)
    view: tuple = (NEVER, NEVER, -1, -1, None, 0, False)
    # Cursor and time of the open request, or the answer in transit; None if neither.
    pending: tuple | Answer | None = None
    # Whether it knew the previous epoch when it first learned of the one that the
    # restore began.
    can_detect: bool = True


@dataclass(frozen=True)
class System:
    """State of the store and all nodes, and which one-time events have occurred."""

    now: int = 0
    epoch: int = 1
    revision: int = 1
    changed_at: int = 1
    version: int = 1
    backup: tuple = (1, 1, 1)
    accepted: tuple = ((1, 0),)
    restored_at: int | None = None
    outage: str = "to come"
    was_killed: bool = False
    # Oldest revision from which the history is complete; None before the compaction.
    compacted: int | None = None
    nodes: tuple = (Node(),) * N_NODES


def view_of(node):
    """Return a `StoreView` in the state of a node."""
    view = StoreView(SETTLE_STEPS)
    (
        view._as_of,
        view._reliable_from,
        view.epoch,
        view._peer_epoch,
        view.cursor,
        view.version,
        view.is_proven,
    ) = node.view
    return view


def with_view(node, view):
    """Return a node with the state of a `StoreView`."""
    state = (
        view._as_of,
        view._reliable_from,
        view.epoch,
        view._peer_epoch,
        view.cursor,
        view.version,
        view.is_proven,
    )
    return replace(node, view=state)


def with_freshness(node, change):
    """Return a node after a function has changed its `ConfigFreshness`."""
    freshness = ConfigFreshness()
    freshness.as_of, freshness._pending_version, freshness._pending_as_of = (
        node.freshness
    )
    change(freshness)
    state = freshness.as_of, freshness._pending_version, freshness._pending_as_of
    return replace(node, freshness=state)


def adopted(node, version, cursor):
    """Return a node after it received a version."""
    if version == node.in_force:
        return replace(node, stored_at=cursor)
    if version < node.in_force:
        return node
    node = replace(node, in_force=version, stored_at=cursor)
    return with_freshness(node, lambda freshness: freshness.adopt(version))


def with_node(system, index, node):
    """Return the system one step later, with another state of one node."""
    nodes = (*system.nodes[:index], node, *system.nodes[index + 1 :])
    return replace(system, now=system.now + 1, nodes=nodes)


def with_request(system, node):
    """Return a node after it sent a request to the store."""
    view = view_of(node)
    cursor = view.cursor if view.is_proven else None
    return replace(node, pending=(cursor, system.now))


def answered(system, node):
    """Return a node after the store answered, before the answer arrives."""
    cursor, asked_at = node.pending
    position = Cursor(system.epoch, system.revision)
    if cursor is None:
        answer = Answer(False, asked_at, position, system.version)
    elif cursor.revision > system.revision:
        answer = Answer(True, asked_at, None, None)
    else:
        has_changed = system.changed_at > cursor.revision
        answer = Answer(
            True, asked_at, position, system.version if has_changed else None
        )
    return replace(node, pending=answer)


def is_watch_dead(system, node):
    """Whether a node has an open watch from a revision whose history is lost."""
    if not isinstance(node.pending, tuple) or node.pending[0] is None:
        return False
    return system.compacted is not None and node.pending[0].revision < system.compacted


def answered_despite_lost_history(system, node):
    """Yield a node after each answer that a watch from a lost revision may get."""
    asked_at = node.pending[1]
    position = Cursor(system.epoch, system.revision)
    yield replace(node, pending=Answer(True, asked_at, None, None))
    yield replace(node, pending=Answer(True, asked_at, position, None))


def interrupted(node):
    """Return a node after its watch ended without an answer."""
    view = view_of(node)
    view.note_interruption()
    return replace(with_view(node, view), pending=None)


def received(system, node):
    """Return a node after the answer in transit has arrived."""
    answer = node.pending
    view = view_of(node)
    node = replace(
        node, pending=None, can_detect=node.can_detect and can_detect(system, view)
    )
    if answer.cursor is None:
        view.drop_cursor()
        return with_view(node, view)
    if answer.is_watch:
        is_valid = view.note_watch(answer.cursor, answer.version, system.now)
    else:
        view.note_read(answer.cursor, answer.version, system.now)
        is_valid = True
    node = with_view(node, view)
    if answer.version is not None:
        node = adopted(node, answer.version, answer.cursor)
    in_force = node.in_force
    if is_valid and view.proves(in_force, answer.asked_at):
        node = with_freshness(
            node,
            lambda freshness: freshness.confirm(in_force, answer.asked_at, in_force),
        )
    return node


def can_detect(system, view):
    """Whether a node that the store answers can detect that the store was restored."""
    cursor_epoch = system.epoch if view.cursor is None else view.cursor.epoch
    known_epochs = {view.epoch, view._peer_epoch, cursor_epoch} - {-1, system.epoch}
    return (
        system.restored_at is None or view.epoch == system.epoch or bool(known_epochs)
    )


def probed(system, node):
    """Return a node after a probe of the store, which may end its watch."""
    view = view_of(node)
    node = replace(node, can_detect=node.can_detect and can_detect(system, view))
    is_invalid = view.note_epoch(system.epoch, system.now)
    node = with_view(node, view)
    if is_invalid:
        return replace(node, pending=None)
    if not isinstance(node.pending, tuple) or node.pending[0] is None:
        return node
    position = Cursor(system.epoch, system.revision)
    match view.check_position(position):
        case PositionCheck.CURRENT:
            return node
        case PositionCheck.BEHIND:
            return interrupted(node)
    if not view.note_unchanged(position, system.changed_at):
        return interrupted(node)
    return with_view(node, view)


def informed(system, node, other):
    """Return a node after another one has passed on its state."""
    view = view_of(node)
    view.note_peer_epoch(view_of(other).epoch)
    node = with_view(node, view)
    if other.in_force > node.in_force:
        node = adopted(node, other.in_force, other.stored_at)
        view = view_of(node)
        view.note_version(other.stored_at, other.in_force, system.now)
        node = with_view(node, view)
    as_of = other.freshness[0]
    in_force = node.in_force
    node = replace(node, can_detect=node.can_detect and other.can_detect)
    return with_freshness(
        node, lambda freshness: freshness.confirm(other.in_force, as_of, in_force)
    )


def successors(system):
    """Yield each state that can follow a state of the system."""
    lost = system.version < len(system.accepted)
    if system.restored_at is not None and lost:
        yield written(system, len(system.accepted))
        if system.now - system.restored_at >= SETTLE_STEPS - 1:
            return
    yield from _store_steps(system, lost)
    for index, node in enumerate(system.nodes):
        for next_node in _node_steps(system, index, node):
            yield with_node(system, index, next_node)
        if not system.was_killed and node != Node():
            yield replace(with_node(system, index, Node()), was_killed=True)


def written(system, version):
    """Return the system after a version was written to the store."""
    revision = system.revision + 1
    return replace(
        system,
        now=system.now + 1,
        revision=revision,
        changed_at=revision,
        version=version,
    )


def _store_steps(system, lost):
    if len(system.accepted) < N_VERSIONS and not lost and system.outage != "on":
        version = len(system.accepted) + 1
        accepted = (*system.accepted, (version, system.now))
        yield replace(written(system, version), accepted=accepted)
    if system.restored_at is None:
        revision, changed_at, version = system.backup
        yield replace(
            system,
            now=system.now + 1,
            epoch=system.epoch + 1,
            revision=revision,
            changed_at=changed_at,
            version=version,
            restored_at=system.now,
        )
    if system.compacted is None:
        dropped = replace(system, now=system.now + 1, compacted=system.revision)
        yield dropped
        cut = tuple(
            interrupted(node) if is_watch_dead(dropped, node) else node
            for node in system.nodes
        )
        yield replace(dropped, nodes=cut)
    if system.outage == "to come":
        yield replace(system, now=system.now + 1, outage="on")
    elif system.outage == "on":
        yield replace(system, now=system.now + 1, outage="over")


def _node_steps(system, index, node):
    if node.pending is None:
        yield with_request(system, node)
    elif isinstance(node.pending, Answer):
        yield received(system, node)
    elif system.outage == "on":
        # The request is lost, which unanswered probes reveal.
        yield interrupted(node)
    elif is_watch_dead(system, node):
        yield from answered_despite_lost_history(system, node)
    else:
        yield answered(system, node)
    if system.outage != "on":
        yield probed(system, node)
    other = system.nodes[(index + 1) % len(system.nodes)]
    if other.in_force:
        yield informed(system, node, other)


def check(system):
    """Raise `AssertionError` if the `as_of` of a node is too late."""
    for node in system.nodes:
        for version, accepted_at in system.accepted:
            knows = accepted_at >= node.freshness[0] or node.in_force >= version
            assert knows or not node.can_detect, f"as_of is too late: {system}"


def check_not_stuck(system):
    """Raise `AssertionError` if a node does not get to watch the newest version."""
    newest = len(system.accepted)
    system = replace(system, outage="over")
    if system.version < newest:
        system = written(system, newest)
    for node in system.nodes:
        if is_watch_dead(system, node):
            # It may never be answered; a probe ends it unless it missed nothing.
            node = probed(system, node)
            view = view_of(node)
            if node.pending is not None and view.version == newest == node.in_force:
                continue
            assert node.pending is None, f"behind: {system}"
        elif not isinstance(node.pending, Answer) and node.pending is not None:
            # An open watch is ended by a probe or by its timeout.
            node = replace(probed(system, node), pending=None)
        n_requests = 0
        is_watching = False
        while node.in_force < newest or not is_watching:
            n_requests += 1
            assert n_requests <= MAX_REQUESTS, f"stuck: {system}"
            if not isinstance(node.pending, Answer):
                node = answered(system, with_request(system, node))
            is_unchanged_watch = node.pending.is_watch and node.pending.version is None
            node = received(system, node)
            is_watching = is_unchanged_watch and view_of(node).cursor is not None


def initial_system():
    """Return a system in which no node has any state yet."""
    return System()


def synchronized_system():
    """Return a system in which all nodes have the first version and one watches.

    The store has made further changes since the backup.
    """
    position = Cursor(1, 4)
    view = (0, NEVER, 1, -1, position, 1, True)
    node = Node(1, position, (0, 0, NEVER), view)
    watcher = replace(node, pending=(position, 0))
    return System(now=1, revision=4, nodes=(watcher, *(node,) * (N_NODES - 1)))


def restored_system():
    """Return a system whose store has lost the second version, which one node has."""
    system = synchronized_system()
    position = Cursor(1, 5)
    view = (3, NEVER, 1, -1, position, 2, True)
    ahead = Node(2, position, (2, 0, NEVER), view)
    nodes = (ahead, *system.nodes[1:])
    accepted = (*system.accepted, (2, 1))
    return replace(
        system,
        now=4,
        epoch=2,
        revision=1,
        accepted=accepted,
        restored_at=3,
        nodes=nodes,
    )


def explore(start, max_depth):
    """Check each state within a number of steps; return the number of states."""
    visited = {start}
    level = [start]
    for _ in range(max_depth):
        level = list(_next_level(level, visited))
    return len(visited)


def _next_level(level, visited):
    for system in level:
        for other in successors(system):
            if other in visited:
                continue
            visited.add(other)
            for before, after in zip(system.nodes, other.nodes, strict=True):
                assert after == Node() or after.in_force >= before.in_force, (
                    "returned to an older version"
                )
            check(other)
            check_not_stuck(other)
            yield other


class TestStoreViewExhaustive(TestCase):
    def test_no_order_brings_a_node_back_stuck_or_to_false_knowledge(self):
        for start in (initial_system(), synchronized_system(), restored_system()):
            self.assertGreater(explore(start, MAX_DEPTH), 1_000)
