"""Specification of settings: conditional updates, and nodes that never revert.

An operator whose update got no response looks up its change id in the history. The
platform keeps, as audit trail, the change id of each version and the one that it
replaced. Every version of the settings may reach any node at any time, in any order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from fuchsiagap_standins.model import implementations
from fuchsiagap_standins.model.spec import ENVIRONMENT, Action, Spec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Names of the bugs that can be planted.
BREAKS = (
    "adopt-lower-version",
    "blind-write",
    "trust-lost-answer",
    "forget-tombstone",
)

# Phases of an operator; `LOST` is an update without a response.
IDLE, READ, SENT, APPLIED, LOST = "idle", "read", "sent", "applied", "lost"
# Phases with an answer to the operator. `UNSETTLED` means that a change without a
# response is not in the history but can still be applied.
ACCEPTED, REJECTED, UNSETTLED = "accepted", "rejected", "unsettled"


class Operator(NamedTuple):
    """An operator who makes one change.

    Attributes
    ----------
    phase : str
        Progress of the change.
    based_on : int
        Version that the operator read before the change.
    answer : str
        What the operator was told about the change; empty if nothing yet.
    """

    phase: str = IDLE
    based_on: int = 0
    answer: str = ""


class Node(NamedTuple):
    """A node.

    Attributes
    ----------
    version : int
        Version of the settings that the node has adopted; 0 for none.
    reverted : bool
        Whether the node ever replaced a version by a lower one.
    """

    version: int = 0
    reverted: bool = False


class State(NamedTuple):
    """State of the platform, the operators and the nodes.

    Attributes
    ----------
    history : tuple of int
        Change id of each version, in order. It is the number of the operator, starting
        at 1, and negative for a deletion.
    operators : tuple of Operator
        All operators.
    nodes : tuple of Node
        All nodes.
    overwritten : bool
        Whether an update replaced a version that its operator had not read.
    """

    history: tuple[int, ...]
    operators: tuple[Operator, ...]
    nodes: tuple[Node, ...]
    overwritten: bool


def settings_spec(
    operators: int, nodes: int, bugs: frozenset[str] = frozenset()
) -> Spec:
    """Return the specification of settings.

    Parameters
    ----------
    operators : int
        Number of concurrent operators; the last one deletes the settings.
    nodes : int
        Number of nodes that adopt settings.
    bugs : frozenset of str
        Names of planted bugs, from `BREAKS`.

    Returns
    -------
    Spec
        The specification.
    """

    def change_id(index: int) -> int:
        return -(index + 1) if index == operators - 1 else index + 1

    def read(state: State) -> Iterator[State]:
        for index, operator in enumerate(state.operators):
            if operator.phase == IDLE:
                based = operator._replace(phase=READ, based_on=len(state.history))
                yield _with_operator(state, index, based)

    def send(state: State) -> Iterator[State]:
        for index, operator in enumerate(state.operators):
            if operator.phase == READ:
                yield _with_operator(state, index, operator._replace(phase=SENT))

    def apply(state: State) -> Iterator[State]:
        for index, operator in enumerate(state.operators):
            if operator.phase != SENT:
                continue
            current = operator.based_on == len(state.history)
            if not current and "blind-write" not in bugs:
                rejected = operator._replace(phase=REJECTED, answer=REJECTED)
                yield _with_operator(state, index, rejected)
                continue
            applied = _with_operator(state, index, operator._replace(phase=APPLIED))
            yield applied._replace(
                history=(*state.history, change_id(index)),
                overwritten=state.overwritten or not current,
            )

    def answer(state: State) -> Iterator[State]:
        for index, operator in enumerate(state.operators):
            if operator.phase == APPLIED:
                accepted = operator._replace(phase=ACCEPTED, answer=ACCEPTED)
                yield _with_operator(state, index, accepted)

    def lose_answer(state: State) -> Iterator[State]:
        for index, operator in enumerate(state.operators):
            if operator.phase in (SENT, APPLIED):
                yield _with_operator(state, index, operator._replace(phase=LOST))

    def settle(state: State) -> Iterator[State]:
        for index, operator in enumerate(state.operators):
            if operator.phase != LOST:
                continue
            is_applied = change_id(index) in state.history
            base_replaced = len(state.history) > operator.based_on
            if "trust-lost-answer" in bugs:
                answered = REJECTED
            elif is_applied:
                answered = ACCEPTED
            else:
                # The change can still be applied while its base version is current.
                answered = REJECTED if base_replaced else UNSETTLED
            yield _with_operator(
                state, index, operator._replace(phase=answered, answer=answered)
            )

    def late_effect(state: State) -> Iterator[State]:
        for index, operator in enumerate(state.operators):
            if operator.phase in (LOST, UNSETTLED) and (
                operator.based_on == len(state.history)
            ):
                yield state._replace(history=(*state.history, change_id(index)))

    def adopt(state: State) -> Iterator[State]:
        for index, node in enumerate(state.nodes):
            for version in range(1, len(state.history) + 1):
                if version > node.version:
                    yield _with_node(state, index, Node(version, node.reverted))
                elif version < node.version and _may_downgrade(
                    state, node, version, bugs
                ):
                    yield _with_node(state, index, Node(version, True))

    def restart(state: State) -> Iterator[State]:
        for index, node in enumerate(state.nodes):
            if node.version:
                yield _with_node(state, index, Node(0, node.reverted))

    return Spec(
        name="settings",
        initial=State((), (Operator(),) * operators, (Node(),) * nodes, False),
        actions=(
            Action("operator reads", implementations.SETTINGS_PUT, read),
            Action("operator sends its change", implementations.SETTINGS_PUT, send),
            Action("platform applies or rejects it", ENVIRONMENT, apply),
            Action(
                "operator is told it was applied", implementations.SETTINGS_PUT, answer
            ),
            Action("the answer is lost", ENVIRONMENT, lose_answer),
            Action(
                "operator looks up its change id", implementations.SETTINGS_PUT, settle
            ),
            Action("a lost change takes effect late", ENVIRONMENT, late_effect),
            Action("node adopts a version", implementations.SETTINGS_ADOPT, adopt),
            Action("node is replaced", ENVIRONMENT, restart),
        ),
        invariants={
            "never_reverts": lambda s: not any(node.reverted for node in s.nodes),
            "no_lost_update": lambda s: not s.overwritten,
            "accepted_is_kept": lambda s: _answers_match(s, ACCEPTED, True, change_id),
            "rejected_is_not": lambda s: _answers_match(s, REJECTED, False, change_id),
            "applied_once": lambda s: len(set(s.history)) == len(s.history),
        },
        goal=lambda s: all(node.version == len(s.history) for node in s.nodes),
    )


def _may_downgrade(
    state: State, node: Node, version: int, bugs: frozenset[str]
) -> bool:
    """Whether a planted bug makes a node replace its version by a lower one."""
    if "adopt-lower-version" in bugs:
        return True
    deleted = state.history[node.version - 1] < 0
    return "forget-tombstone" in bugs and deleted


def _answers_match(
    state: State, answered: str, is_applied: bool, change_id: Callable[[int], int]
) -> bool:
    """Whether each change with an answer is, or is not, in the history."""
    return all(
        (change_id(index) in state.history) is is_applied
        for index, operator in enumerate(state.operators)
        if operator.answer == answered
    )


def _with_operator(state: State, index: int, operator: Operator) -> State:
    operators = (*state.operators[:index], operator, *state.operators[index + 1 :])
    return state._replace(operators=operators)


def _with_node(state: State, index: int, node: Node) -> State:
    nodes = (*state.nodes[:index], node, *state.nodes[index + 1 :])
    return state._replace(nodes=nodes)
