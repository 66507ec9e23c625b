"""Every order of asking, answering, passing on, killing and returning.

A store holds the configuration. It may be silent once, and come back once from a copy
that was taken after the first version; what it lost is written again within the time
that nodes give it. Nodes read, watch from their cursor, probe, and pass on what they
have; one is killed once and starts knowing nothing. Whatever the order, no node goes
back, none is stuck, and none takes its knowledge for better than it is.
"""

import os
from dataclasses import dataclass, replace

from testtools import TestCase

from fuchsiagap.core.freshness.config_freshness import ConfigFreshness
from fuchsiagap.core.freshness.store_view import Cursor, StoreView

# Three by hand: `RETURN_NODES=3`.
N_NODES = int(os.environ.get("RETURN_NODES", "2"))
N_VERSIONS = 3
# Steps of an order; more by hand: `RETURN_STEPS=7`.
DEEPEST = int(os.environ.get("RETURN_STEPS", "6"))
# Steps within which the operator writes again what the store has lost.
SETTLE = 6
# Questions after which a node has to watch a store that answers, with all that it has.
MOST_QUESTIONS = 4
NEVER = float("-inf")


@dataclass(frozen=True)
class Answer:
    """What the store said to a question; no cursor where history is gone."""

    is_watch: bool
    asked_at: int
    cursor: Cursor | None
    version: int | None


@dataclass(frozen=True)
class Node:
    """What a node knows, and what it waits for."""

    in_force: int = 0
    stored_at: Cursor | None = None
    knowledge: tuple = (NEVER, 0, NEVER)
    view: tuple = (NEVER, NEVER, -1, -1, None, 0)
    # Whether it watches and since when, or the answer that is under way.
    waits: tuple | Answer | None = None
    # Whether it had heard of the epoch before when it first heard of the one that the
    # return began.
    can_tell: bool = True


@dataclass(frozen=True)
class World:
    """The store, all nodes, and what has happened once."""

    now: int = 0
    epoch: int = 1
    revision: int = 1
    changed_at: int = 1
    version: int = 1
    copy: tuple = (1, 1, 1)
    accepted: tuple = ((1, 0),)
    returned_at: int | None = None
    silence: str = "to come"
    has_killed: bool = False
    nodes: tuple = (Node(),) * N_NODES


def view_of(node):
    """Return the product's object in the state of a node."""
    view = StoreView(SETTLE)
    (
        view._as_of,
        view._reliable_from,
        view.epoch,
        view._peer_epoch,
        view.cursor,
        view.version,
    ) = node.view
    return view


def with_view(node, view):
    """Return a node in the state of the product's object."""
    state = (
        view._as_of,
        view._reliable_from,
        view.epoch,
        view._peer_epoch,
        view.cursor,
        view.version,
    )
    return replace(node, view=state)


def with_knowledge(node, change):
    """Return a node whose knowledge a function has changed."""
    known = ConfigFreshness()
    known.as_of, known._pending_version, known._pending_as_of = node.knowledge
    change(known)
    state = known.as_of, known._pending_version, known._pending_as_of
    return replace(node, knowledge=state)


def adopted(node, version, cursor):
    """Return a node that was given a version."""
    if version == node.in_force:
        return replace(node, stored_at=cursor)
    if version < node.in_force:
        return node
    node = replace(node, in_force=version, stored_at=cursor)
    return with_knowledge(node, lambda known: known.adopt(version))


def put(world, index, node):
    """Return the world a step later, with another state of one node."""
    nodes = (*world.nodes[:index], node, *world.nodes[index + 1 :])
    return replace(world, now=world.now + 1, nodes=nodes)


def asked(world, node):
    """Return a node that asks the store."""
    return replace(node, waits=(view_of(node).cursor, world.now))


def served(world, node):
    """Return a node to which the store has answered, not heard of yet."""
    cursor, asked_at = node.waits
    place = Cursor(world.epoch, world.revision)
    if cursor is None:
        answer = Answer(False, asked_at, place, world.version)
    elif cursor.revision > world.revision:
        answer = Answer(True, asked_at, None, None)
    else:
        is_news = world.changed_at > cursor.revision
        answer = Answer(True, asked_at, place, world.version if is_news else None)
    return replace(node, waits=answer)


def heard(world, node):
    """Return a node that has heard the answer which is under way."""
    answer = node.waits
    view = view_of(node)
    node = replace(node, waits=None, can_tell=node.can_tell and can_tell(world, view))
    if answer.cursor is None:
        view.drop_cursor()
        return with_view(node, view)
    if answer.is_watch:
        is_sound = view.note_watch(answer.cursor, answer.version, world.now)
    else:
        view.note_read(answer.cursor, answer.version, world.now)
        is_sound = True
    node = with_view(node, view)
    if answer.version is not None:
        node = adopted(node, answer.version, answer.cursor)
    in_force = node.in_force
    if is_sound and view.proves(in_force, answer.asked_at):
        node = with_knowledge(
            node, lambda known: known.confirm(in_force, answer.asked_at, in_force)
        )
    return node


def can_tell(world, view):
    """Whether a node that hears from the store can tell that it has come back."""
    cursor_epoch = world.epoch if view.cursor is None else view.cursor.epoch
    heard_of = {view.epoch, view._peer_epoch, cursor_epoch} - {-1, world.epoch}
    return world.returned_at is None or view.epoch == world.epoch or bool(heard_of)


def probed(world, node):
    """Return a node that has probed the store; a void cursor ends its watch."""
    view = view_of(node)
    node = replace(node, can_tell=node.can_tell and can_tell(world, view))
    is_void = view.note_epoch(world.epoch, world.now)
    node = with_view(node, view)
    return replace(node, waits=None) if is_void else node


def told(world, node, other):
    """Return a node to which another one has passed on what it has."""
    view = view_of(node)
    view.note_peer_epoch(view_of(other).epoch)
    node = with_view(node, view)
    if other.in_force > node.in_force:
        node = adopted(node, other.in_force, other.stored_at)
        view = view_of(node)
        view.note_version(other.stored_at, other.in_force, world.now)
        node = with_view(node, view)
    as_of = other.knowledge[0]
    in_force = node.in_force
    node = replace(node, can_tell=node.can_tell and other.can_tell)
    return with_knowledge(
        node, lambda known: known.confirm(other.in_force, as_of, in_force)
    )


def following(world):
    """Yield each state that may follow."""
    lost = world.version < len(world.accepted)
    if world.returned_at is not None and lost:
        yield written(world, len(world.accepted))
        if world.now - world.returned_at >= SETTLE - 1:
            return
    yield from _store_steps(world, lost)
    for index, node in enumerate(world.nodes):
        for following_node in _node_steps(world, index, node):
            yield put(world, index, following_node)
        if not world.has_killed and node != Node():
            yield replace(put(world, index, Node()), has_killed=True)


def written(world, version):
    """Return the world once a version is in the store."""
    revision = world.revision + 1
    return replace(
        world,
        now=world.now + 1,
        revision=revision,
        changed_at=revision,
        version=version,
    )


def _store_steps(world, lost):
    if len(world.accepted) < N_VERSIONS and not lost and world.silence != "on":
        version = len(world.accepted) + 1
        accepted = (*world.accepted, (version, world.now))
        yield replace(written(world, version), accepted=accepted)
    if world.returned_at is None:
        revision, changed_at, version = world.copy
        yield replace(
            world,
            now=world.now + 1,
            epoch=world.epoch + 1,
            revision=revision,
            changed_at=changed_at,
            version=version,
            returned_at=world.now,
        )
    if world.silence == "to come":
        yield replace(world, now=world.now + 1, silence="on")
    elif world.silence == "on":
        yield replace(world, now=world.now + 1, silence="over")


def _node_steps(world, index, node):
    if node.waits is None:
        yield asked(world, node)
    elif isinstance(node.waits, Answer):
        yield heard(world, node)
    elif world.silence == "on":
        # The question is dropped, and probes without an answer show it.
        yield replace(node, waits=None)
    else:
        yield served(world, node)
    if world.silence != "on":
        yield probed(world, node)
    other = world.nodes[(index + 1) % len(world.nodes)]
    if other.in_force:
        yield told(world, node, other)


def check(world):
    """Raise `AssertionError` where a promise is broken in a state."""
    for node in world.nodes:
        for version, accepted_at in world.accepted:
            knows = accepted_at >= node.knowledge[0] or node.in_force >= version
            assert knows or not node.can_tell, f"believes itself fresh: {world}"


def check_not_stuck(world):
    """Raise `AssertionError` if a node does not come to watch the newest version."""
    newest = len(world.accepted)
    world = replace(world, silence="over")
    if world.version < newest:
        world = written(world, newest)
    for node in world.nodes:
        if not isinstance(node.waits, Answer) and node.waits is not None:
            # A watch that waits is ended by a probe, or by its time.
            node = replace(probed(world, node), waits=None)
        questions = 0
        is_watching = False
        while node.in_force < newest or not is_watching:
            questions += 1
            assert questions <= MOST_QUESTIONS, f"stuck: {world}"
            if not isinstance(node.waits, Answer):
                node = served(world, asked(world, node))
            is_calm = node.waits.is_watch and node.waits.version is None
            node = heard(world, node)
            is_watching = is_calm and view_of(node).cursor is not None


def blank():
    """Return a world in which no node has heard anything yet."""
    return World()


def calm():
    """Return a world in which all nodes have the first version and one watches.

    Other changes came after the one that the copy holds.
    """
    place = Cursor(1, 4)
    node = Node(1, place, (0, 0, NEVER), (0, NEVER, 1, -1, place, 1))
    watches = replace(node, waits=(place, 0))
    return World(now=1, revision=4, nodes=(watches, *(node,) * (N_NODES - 1)))


def after_return():
    """Return a calm world that has lost the second version, which one node has."""
    world = calm()
    place = Cursor(1, 5)
    ahead = Node(2, place, (2, 0, NEVER), (3, NEVER, 1, -1, place, 2))
    nodes = (ahead, *world.nodes[1:])
    accepted = (*world.accepted, (2, 1))
    return replace(
        world, now=4, epoch=2, revision=1, accepted=accepted, returned_at=3, nodes=nodes
    )


def explore(start, deepest):
    """Return how many states there are within so many steps; each is checked."""
    seen = {start}
    level = [start]
    for _ in range(deepest):
        level = list(_next_level(level, seen))
    return len(seen)


def _next_level(level, seen):
    for world in level:
        for other in following(world):
            if other in seen:
                continue
            seen.add(other)
            for before, after in zip(world.nodes, other.nodes, strict=True):
                assert after == Node() or after.in_force >= before.in_force, "went back"
            check(other)
            check_not_stuck(other)
            yield other


class TestAllReturns(TestCase):
    def test_no_order_brings_a_node_back_stuck_or_to_false_knowledge(self):
        for start in (blank(), calm(), after_return()):
            self.assertGreater(explore(start, DEEPEST), 1_000)
