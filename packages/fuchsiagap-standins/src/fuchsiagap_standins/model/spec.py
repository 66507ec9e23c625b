"""Defines specifications and checks them with the model checker `minicheck`.

A specification is a set of actions on a state (a named tuple) and invariants that have
to hold in each reachable state. Each action of the system names the function of the
product that implements it; actions of the environment (loss, crash, pause) name none.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any, TypeAlias

import minicheck

State: TypeAlias = Any
Steps: TypeAlias = Callable[[State], Iterable[State]]
Predicate: TypeAlias = Callable[[State], bool]

# Value of `Action.implemented_by` for actions of the environment.
ENVIRONMENT = ""


@dataclass(frozen=True, slots=True)
class Action:
    """A kind of state transition.

    Parameters
    ----------
    name : str
        Name in counterexamples.
    implemented_by : str
        ``module:function`` of the product, or `ENVIRONMENT`.
    steps : callable
        Returns the successors of a state; none if the action is not enabled in it.
    """

    name: str
    implemented_by: str
    steps: Steps


@dataclass(frozen=True, slots=True)
class Spec:
    """A specification of a protocol.

    Parameters
    ----------
    name : str
        Name of the protocol.
    initial : named tuple
        Initial state; hashable.
    actions : tuple of Action
        All kinds of state transitions.
    invariants : dict of str to callable
        Predicates by name, which have to be true in each reachable state.
    goal : callable, optional
        Predicate. From each reachable state, a state in which it is true has to be
        reachable.
    """

    name: str
    initial: State
    actions: tuple[Action, ...]
    invariants: dict[str, Predicate]
    goal: Predicate | None = None


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A shortest sequence of steps to a state that violates an invariant.

    Parameters
    ----------
    invariant : str
        Name of the violated invariant.
    steps : tuple of (str, dict)
        Action and the changed fields of each step; the first entry is the initial
        state.
    """

    invariant: str
    steps: tuple[tuple[str, dict[str, Any]], ...]

    def __str__(self) -> str:
        lines = [f"{self.invariant} is violated after {len(self.steps) - 1} steps"]
        for number, (name, changed) in enumerate(self.steps):
            fields = ", ".join(f"{key}={value!r}" for key, value in changed.items())
            lines.append(f"  {number:2d}. {name}: {fields}")
        return "\n".join(lines)


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of checking a specification.

    Parameters
    ----------
    spec : str
        Name of the specification.
    states : int
        Number of states visited.
    exhaustive : bool
        Whether all reachable states were visited; if not, nothing is proved.
    counterexamples : tuple of Counterexample
        One for each violated invariant.
    trap : bool
        Whether there is a reachable state from which the goal cannot be reached.
    seconds : float
        Duration of the check in seconds.
    """

    spec: str
    states: int
    exhaustive: bool
    counterexamples: tuple[Counterexample, ...]
    trap: bool
    seconds: float

    @property
    def holds(self) -> bool:
        """Whether all states were visited and no violation was found."""
        return self.exhaustive and not self.counterexamples and not self.trap


def check(spec: Spec, max_states: int) -> CheckResult:
    """Visit all reachable states of a specification, breadth first.

    Parameters
    ----------
    spec : Spec
        Specification to check.
    max_states : int
        Maximum number of states to visit. If there are more, the result is not
        exhaustive.

    Returns
    -------
    CheckResult
        Result, with the shortest counterexample of each violated invariant.
    """
    started = time.monotonic()
    protocol = _protocol(spec)
    report = minicheck.check_safety(protocol, max_states=max_states)
    found = tuple(
        _counterexample(name, verdict["counterexample"])
        for name, verdict in report["properties"].items()
        if verdict["holds"] is False
    )
    trap = _has_trap(protocol) if spec.goal is not None and not found else False
    return CheckResult(
        spec=spec.name,
        states=report["reachable_states"],
        exhaustive=report["exhaustive"],
        counterexamples=found,
        trap=trap,
        seconds=time.monotonic() - started,
    )


def find_counterexample(spec: Spec, max_states: int) -> CheckResult:
    """Visit states until the first one that violates an invariant.

    Parameters
    ----------
    spec : Spec
        Specification to check.
    max_states : int
        Maximum number of states to visit.

    Returns
    -------
    CheckResult
        Result; never exhaustive, as the search stops early, but its counterexample is
        valid.
    """
    violated: list[str] = []

    def record_violation(name: str, predicate: Predicate) -> Predicate:
        def holds(state: State) -> bool:
            held = predicate(state)
            if not held:
                violated.append(name)
            return held

        return holds

    def until_violated(steps: Steps) -> Steps:
        return lambda state: () if violated else steps(state)

    watched = replace(
        spec,
        actions=tuple(replace(a, steps=until_violated(a.steps)) for a in spec.actions),
        invariants={
            name: record_violation(name, p) for name, p in spec.invariants.items()
        },
        goal=None,
    )
    return replace(check(watched, max_states), exhaustive=False)


def _protocol(spec: Spec) -> minicheck.Protocol:
    state_type = type(spec.initial)

    def transitions(state: State) -> Iterator[tuple[str, State]]:
        for action in spec.actions:
            for following in action.steps(state):
                yield action.name, following

    def over_fields(predicate: Predicate) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: predicate(state_type(**fields))

    return minicheck.Protocol(
        name=spec.name,
        candidate=False,
        fields=state_type._fields,
        initial=spec.initial,
        transitions=transitions,
        invariants={
            name: over_fields(predicate) for name, predicate in spec.invariants.items()
        },
        goal=over_fields(spec.goal) if spec.goal is not None else None,
    )


def _has_trap(protocol: minicheck.Protocol) -> bool:
    verdict = minicheck.check_liveness(protocol)
    return verdict["holds"] is not True


def _counterexample(name: str, trace: list[dict[str, Any]]) -> Counterexample:
    steps = []
    before: dict[str, Any] = {}
    for step in trace:
        after = step["state"]
        changed = {key: after[key] for key in after if before.get(key) != after[key]}
        steps.append((step["label"] or "initial", changed))
        before = after
    return Counterexample(invariant=name, steps=tuple(steps))
