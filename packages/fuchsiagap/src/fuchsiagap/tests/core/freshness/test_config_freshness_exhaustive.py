"""Every order of reading, asking, answering and changing, on three nodes.

The first node asks the store, the second one the first, the third one the second. Each
question and answer may take any time, or get lost, and any host may be suspended. Two
versions are accepted. Whatever the order, a node that takes its knowledge for good up
to a moment has all that was accepted before.
"""

from dataclasses import dataclass, replace

from testtools import TestCase

from fuchsiagap.core.freshness.config_freshness import ConfigFreshness

N_NODES = 3
DEEPEST = 8
# Steps of time that a suspension or a long wait takes.
LONG = 3
NEVER = float("-inf")


@dataclass(frozen=True)
class Node:
    """What a node knows; `words` are on their way to it."""

    in_force: int = 0
    as_of: float = NEVER
    ahead_version: int = 0
    ahead_as_of: float = NEVER
    # Questions to the store that it has not seen yet, by when they were asked.
    asked_store: tuple = ()
    # Answers of the store: when asked, and the revision.
    from_store: tuple = ()
    # Answers of other nodes: when asked, the revision, and the age.
    from_nodes: tuple = ()
    # Questions to other nodes: whom, and when asked.
    asked_nodes: tuple = ()


@dataclass(frozen=True)
class World:
    """All nodes, and when each version was accepted."""

    now: int
    accepted: tuple
    nodes: tuple


def knowledge(node):
    """Return the product's object in the state of a node."""
    known = ConfigFreshness()
    known.as_of = node.as_of
    known._pending_version = node.ahead_version
    known._pending_as_of = node.ahead_as_of
    return known


def with_knowledge(node, known, in_force):
    """Return a node in the state of the product's object."""
    return replace(
        node,
        in_force=in_force,
        as_of=known.as_of,
        ahead_version=known._pending_version,
        ahead_as_of=known._pending_as_of,
    )


def confirmed(node, revision, as_of, adopts):
    """Return a node that was told a revision and, if it adopts, its content."""
    known = knowledge(node)
    in_force = node.in_force
    if adopts and revision > in_force:
        in_force = revision
        known.adopt(revision)
    known.confirm(revision, as_of, in_force)
    return with_knowledge(node, known, in_force)


def adopted(node, revision):
    """Return a node that got a configuration alone."""
    known = knowledge(node)
    known.adopt(revision)
    return with_knowledge(node, known, revision)


def put(world, index, node):
    """Return the world with another state of one node, a step later."""
    nodes = (*world.nodes[:index], node, *world.nodes[index + 1 :])
    return replace(world, now=world.now + 1, nodes=nodes)


def drop(items, item):
    """Return items without one."""
    at = items.index(item)
    return (*items[:at], *items[at + 1 :])


def following(world, as_of_of):
    """Yield each state that may follow."""
    if len(world.accepted) < 2:
        yield replace(world, now=world.now + 1, accepted=(*world.accepted, world.now))
    yield replace(world, now=world.now + LONG)
    for index, node in enumerate(world.nodes):
        if index == 0:
            yield from _store_steps(world, index, node)
        else:
            yield from _node_steps(world, index, node, as_of_of)


def _store_steps(world, index, node):
    if len(node.asked_store) + len(node.from_store) < 1:
        yield put(world, index, replace(node, asked_store=(world.now,)))
    for asked_at in node.asked_store:
        answer = asked_at, len(world.accepted)
        yield put(
            world,
            index,
            replace(node, asked_store=(), from_store=(*node.from_store, answer)),
        )
    for asked_at, revision in node.from_store:
        rest = replace(node, from_store=())
        yield put(world, index, confirmed(rest, revision, asked_at, adopts=True))


def _node_steps(world, index, node, as_of_of):
    if not node.asked_nodes and not node.from_nodes:
        other = index - 1
        yield put(world, index, replace(node, asked_nodes=((other, world.now),)))
    for question in node.asked_nodes:
        other, asked_at = question
        source = world.nodes[other]
        answer = asked_at, source.in_force, world.now - source.as_of
        yield put(
            world,
            index,
            replace(
                node,
                asked_nodes=drop(node.asked_nodes, question),
                from_nodes=(*node.from_nodes, answer),
            ),
        )
    for answer in node.from_nodes:
        asked_at, revision, age = answer
        rest = replace(node, from_nodes=drop(node.from_nodes, answer))
        as_of = as_of_of(world.now, asked_at, age)
        yield put(world, index, confirmed(rest, revision, as_of, adopts=False))
        if revision > node.in_force:
            # The configuration may come first, or only afterwards.
            first = adopted(rest, revision)
            yield put(world, index, confirmed(first, revision, as_of, adopts=False))
            last = adopted(confirmed(rest, revision, as_of, adopts=False), revision)
            yield put(world, index, last)


def too_young(world):
    """Return whether a node takes its knowledge for younger than it is."""
    for node in world.nodes:
        newest = sum(at <= node.as_of for at in world.accepted)
        if node.in_force < newest:
            return True
    return False


def explore(as_of_of, deepest=DEEPEST):
    """Return how many states there are, and the first in which a node is wrong."""
    start = World(1, (), (Node(),) * N_NODES)
    seen = {start}
    latest = [start]
    for _ in range(deepest):
        found = []
        for world in latest:
            for state in following(world, as_of_of):
                if too_young(state):
                    return len(seen), state
                if state not in seen:
                    seen.add(state)
                    found.append(state)
        latest = found
    return len(seen), None


class TestAllOrders(TestCase):
    def test_no_node_takes_its_knowledge_for_younger_than_it_is(self):
        n_states, wrong = explore(lambda _, asked_at, age: asked_at - age)
        self.assertIsNone(wrong)
        self.assertGreater(n_states, 10_000)

    def test_age_that_counts_from_the_arrival_of_the_answer_is_found_out(self):
        _, wrong = explore(lambda now, _, age: now - age)
        self.assertIsNotNone(wrong)
