"""Specification of nested calls of a retried request: each runs at most once.

An idempotent request, the parent, may run on two backend servers at once. Each run
makes the same nested call, the child. The child is started by the home node of the root
request, which identifies it by the root and the child key.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from fuchsiagap_standins.model import implementations
from fuchsiagap_standins.model.spec import ENVIRONMENT, Action, Spec

if TYPE_CHECKING:
    from collections.abc import Iterator

# Names of the bugs that can be planted.
BREAKS = ("key-by-parent-call", "run-child-without-home")

# States of a run of the parent; `GONE` means that its backend server ended.
NONE, RUNNING, GONE = "none", "running", "gone"
# Entries of the home for a child; `UNKNOWN` means that the home cannot tell whether it
# ran.
OPEN, STARTED, ANSWERED, UNKNOWN = "open", "started", "answered", "unknown"


class State(NamedTuple):
    """State of the runs of the parent, of the home and of the child.

    Attributes
    ----------
    parents : tuple of str
        State of each run of the parent.
    copies : tuple of bool
        Whether each run has sent its call of the child.
    home_life : int
        Number of the home's current process, starting at 1.
    entries : tuple of str
        Entries of the home; only the first is used, unless the child is identified by
        the run of the parent, which is a planted bug.
    runs : int
        How often the child has run; at most 2 are counted.
    told : tuple of str
        Outcome of the child that each run was told; empty if none yet.
    """

    parents: tuple[str, ...]
    copies: tuple[bool, ...]
    home_life: int
    entries: tuple[str, ...]
    runs: int
    told: tuple[str, ...]


def children_spec(parents: int, bugs: frozenset[str] = frozenset()) -> Spec:
    """Return the specification of children identified by root and child key.

    Parameters
    ----------
    parents : int
        Maximum number of runs of the parent.
    bugs : frozenset of str
        Names of planted bugs, from `BREAKS`.

    Returns
    -------
    Spec
        The specification.
    """
    is_keyed_by_parent = "key-by-parent-call" in bugs

    def entry_of(parent: int) -> int:
        return parent if is_keyed_by_parent else 0

    def start_parent(state: State) -> Iterator[State]:
        for index, parent in enumerate(state.parents):
            if parent == NONE:
                yield state._replace(parents=_replace_at(state.parents, index, RUNNING))

    def crash_parent(state: State) -> Iterator[State]:
        for index, parent in enumerate(state.parents):
            if parent == RUNNING:
                yield state._replace(parents=_replace_at(state.parents, index, GONE))

    def send_child(state: State) -> Iterator[State]:
        for index, parent in enumerate(state.parents):
            if parent == RUNNING and not state.copies[index]:
                yield state._replace(copies=_replace_at(state.copies, index, True))

    def start_child(state: State) -> Iterator[State]:
        for index, copy in enumerate(state.copies):
            entry = entry_of(index)
            if copy and state.home_life == 1 and state.entries[entry] == OPEN:
                entries = _replace_at(state.entries, entry, STARTED)
                yield state._replace(entries=entries, runs=state.runs + 1)
            if copy and state.home_life > 1 and "run-child-without-home" in bugs:
                yield state._replace(runs=min(state.runs + 1, 2))

    def keep_answer(state: State) -> Iterator[State]:
        for entry, what in enumerate(state.entries):
            if what == STARTED and state.home_life == 1:
                yield state._replace(
                    entries=_replace_at(state.entries, entry, ANSWERED)
                )
                yield state._replace(entries=_replace_at(state.entries, entry, UNKNOWN))

    def answer_parent(state: State) -> Iterator[State]:
        for index, copy in enumerate(state.copies):
            known = state.entries[entry_of(index)] if state.home_life == 1 else UNKNOWN
            if copy and known in (ANSWERED, UNKNOWN) and not state.told[index]:
                yield state._replace(told=_replace_at(state.told, index, known))

    def end_home(state: State) -> Iterator[State]:
        if state.home_life == 1:
            yield state._replace(home_life=2)

    return Spec(
        name="children",
        initial=State(
            (NONE,) * parents,
            (False,) * parents,
            1,
            (OPEN,) * parents,
            0,
            ("",) * parents,
        ),
        actions=(
            Action("parent starts", implementations.SERVE, start_parent),
            Action("parent's backend server ends", ENVIRONMENT, crash_parent),
            Action("parent calls its child", implementations.CHILD_CALL, send_child),
            Action("home starts the child", implementations.HOME_START, start_child),
            Action("home keeps the answer", implementations.HOME_KEEP, keep_answer),
            Action(
                "parent receives the outcome", implementations.HOME_START, answer_parent
            ),
            Action("home ends and is replaced", ENVIRONMENT, end_home),
        ),
        invariants={
            "child_runs_once": lambda s: s.runs <= 1,
            "answered_has_run": lambda s: ANSWERED not in s.told or s.runs == 1,
        },
    )


def _replace_at(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return (*values[:index], value, *values[index + 1 :])
