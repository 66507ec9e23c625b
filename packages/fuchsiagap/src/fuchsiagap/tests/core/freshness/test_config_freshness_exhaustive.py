"""Model checking of `ConfigFreshness` over all orders of events on three nodes.

The first node asks the store, the second asks the first, and the third asks the second.
Each question and answer may take any time or get lost, any host may be suspended, and
two versions are accepted. In every reachable state, each node has all versions that
were accepted up to its `as_of`.
"""

from dataclasses import dataclass, replace

from testtools import TestCase

from fuchsiagap.core.freshness.config_freshness import ConfigFreshness

N_NODES = 3
MAX_DEPTH = 8
# Time steps of a suspension or a long delay.
LONG_DELAY = 3
NEVER = float("-inf")


@dataclass(frozen=True)
class Node:
    """State of one node, and the messages in flight to and from it."""

    in_force: int = 0
    as_of: float = NEVER
    pending_version: int = 0
    pending_as_of: float = NEVER
    # Times of the questions that have not reached the store yet.
    asked_store: tuple = ()
    # Answers of the store: time of the question, and the version.
    from_store: tuple = ()
    # Answers of other nodes: time of the question, the version, and the age.
    from_nodes: tuple = ()
    # Questions to other nodes: index of the node, and time of the question.
    asked_nodes: tuple = ()


@dataclass(frozen=True)
class System:
    """State of all nodes, and when each version was accepted."""

    now: int
    accepted: tuple
    nodes: tuple


def freshness_of(node):
    """Return a `ConfigFreshness` in the state of a node."""
    freshness = ConfigFreshness()
    freshness.as_of = node.as_of
    freshness._pending_version = node.pending_version
    freshness._pending_as_of = node.pending_as_of
    return freshness


def with_freshness(node, freshness, in_force):
    """Return a node with the state of a `ConfigFreshness`."""
    return replace(
        node,
        in_force=in_force,
        as_of=freshness.as_of,
        pending_version=freshness._pending_version,
        pending_as_of=freshness._pending_as_of,
    )


def confirmed(node, version, as_of, adopts):
    """Return a node after a confirmation, which may include the configuration."""
    freshness = freshness_of(node)
    in_force = node.in_force
    if adopts and version > in_force:
        in_force = version
        freshness.adopt(version)
    freshness.confirm(version, as_of, in_force)
    return with_freshness(node, freshness, in_force)


def adopted(node, version):
    """Return a node after it received a configuration without a confirmation."""
    freshness = freshness_of(node)
    freshness.adopt(version)
    return with_freshness(node, freshness, version)


def with_node(system, index, node):
    """Return the system one step later, with another state of one node."""
    nodes = (*system.nodes[:index], node, *system.nodes[index + 1 :])
    return replace(system, now=system.now + 1, nodes=nodes)


def without(items, item):
    """Return the items without one of them."""
    at = items.index(item)
    return (*items[:at], *items[at + 1 :])


def successors(system, compute_as_of):
    """Yield each state that can follow a state of the system."""
    if len(system.accepted) < 2:
        yield replace(
            system, now=system.now + 1, accepted=(*system.accepted, system.now)
        )
    yield replace(system, now=system.now + LONG_DELAY)
    for index, node in enumerate(system.nodes):
        if index == 0:
            yield from _store_steps(system, index, node)
        else:
            yield from _node_steps(system, index, node, compute_as_of)


def _store_steps(system, index, node):
    if len(node.asked_store) + len(node.from_store) < 1:
        yield with_node(system, index, replace(node, asked_store=(system.now,)))
    for asked_at in node.asked_store:
        answer = asked_at, len(system.accepted)
        yield with_node(
            system,
            index,
            replace(node, asked_store=(), from_store=(*node.from_store, answer)),
        )
    for asked_at, version in node.from_store:
        rest = replace(node, from_store=())
        yield with_node(system, index, confirmed(rest, version, asked_at, adopts=True))


def _node_steps(system, index, node, compute_as_of):
    if not node.asked_nodes and not node.from_nodes:
        other = index - 1
        yield with_node(
            system, index, replace(node, asked_nodes=((other, system.now),))
        )
    for question in node.asked_nodes:
        other, asked_at = question
        source = system.nodes[other]
        answer = asked_at, source.in_force, system.now - source.as_of
        yield with_node(
            system,
            index,
            replace(
                node,
                asked_nodes=without(node.asked_nodes, question),
                from_nodes=(*node.from_nodes, answer),
            ),
        )
    for answer in node.from_nodes:
        asked_at, version, age = answer
        rest = replace(node, from_nodes=without(node.from_nodes, answer))
        as_of = compute_as_of(system.now, asked_at, age)
        yield with_node(system, index, confirmed(rest, version, as_of, adopts=False))
        if version > node.in_force:
            # The configuration may arrive before or after the confirmation.
            first = adopted(rest, version)
            yield with_node(
                system, index, confirmed(first, version, as_of, adopts=False)
            )
            last = adopted(confirmed(rest, version, as_of, adopts=False), version)
            yield with_node(system, index, last)


def has_late_as_of(system):
    """Return whether the `as_of` of a node is too late."""
    for node in system.nodes:
        newest = sum(at <= node.as_of for at in system.accepted)
        if node.in_force < newest:
            return True
    return False


def explore(compute_as_of, max_depth=MAX_DEPTH):
    """Return the number of states, and the first with an `as_of` that is too late."""
    start = System(1, (), (Node(),) * N_NODES)
    visited = {start}
    frontier = [start]
    for _ in range(max_depth):
        discovered = []
        for system in frontier:
            for state in successors(system, compute_as_of):
                if has_late_as_of(state):
                    return len(visited), state
                if state not in visited:
                    visited.add(state)
                    discovered.append(state)
        frontier = discovered
    return len(visited), None


class TestConfigFreshnessExhaustive(TestCase):
    def test_no_node_takes_its_knowledge_for_younger_than_it_is(self):
        n_states, counterexample = explore(lambda _, asked_at, age: asked_at - age)
        self.assertIsNone(counterexample)
        self.assertGreater(n_states, 10_000)

    def test_counting_the_age_from_the_arrival_of_the_answer_is_detected(self):
        _, counterexample = explore(lambda now, _, age: now - age)
        self.assertIsNotNone(counterexample)
