"""Table of all specifications, with their sizes and the bugs that can be planted."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from fuchsiagap_standins.model import calls, children, drain, settings, tickets
from fuchsiagap_standins.model.spec import CheckResult, Spec, check, find_counterexample
from fuchsiagap_standins.model.ticket_state import TicketBound

if TYPE_CHECKING:
    from collections.abc import Callable

# Maximum number of states that a check visits.
MAX_STATES = 2_000_000
NO_BUGS: frozenset[str] = frozenset()


class Bound(Enum):
    """Size of the checked models.

    Attributes
    ----------
    SMALL
        Checked by the tests; also used for planted bugs.
    LARGE
        More nodes, calls and copies, for a longer check.
    """

    SMALL = "small"
    LARGE = "large"


@dataclass(frozen=True, slots=True)
class Entry:
    """A specification in the table.

    Parameters
    ----------
    make : callable
        Returns the specification for a bound and a set of planted bugs.
    breaks : tuple of str
        Names of the bugs that can be planted.
    """

    make: Callable[[Bound, frozenset[str]], Spec]
    breaks: tuple[str, ...]


def _tickets(bound: Bound, bugs: frozenset[str]) -> Spec:
    # The bug ``hand-over-twice`` shows only with two successors.
    n_successors = 2 if bugs or bound is Bound.LARGE else 1
    n = 2 if bound is Bound.SMALL else 3
    ticket_bound = TicketBound(
        tickets=1, copies=n, attempts=n, lives=2, successors=n_successors
    )
    return tickets.ticket_spec(ticket_bound, bugs)


def _children(bound: Bound, bugs: frozenset[str]) -> Spec:
    return children.children_spec(2 if bound is Bound.SMALL else 4, bugs)


def _answers(bound: Bound, bugs: frozenset[str]) -> Spec:
    callers, n_calls = (2, 3) if bound is Bound.SMALL else (3, 5)
    return calls.answers_spec(callers, n_calls, bugs)


def _allowance(bound: Bound, bugs: frozenset[str]) -> Spec:
    n_calls, allowance = (2, 2) if bound is Bound.SMALL else (4, 4)
    return calls.allowance_spec(n_calls, allowance, bugs)


def _drain(bound: Bound, bugs: frozenset[str]) -> Spec:
    peers, n_calls = (2, 2) if bound is Bound.SMALL else (3, 2)
    return drain.drain_spec(peers, n_calls, bugs)


def _settings(bound: Bound, bugs: frozenset[str]) -> Spec:
    operators, nodes = (2, 2) if bound is Bound.SMALL else (3, 3)
    return settings.settings_spec(operators, nodes, bugs)


TABLE: tuple[Entry, ...] = (
    Entry(_tickets, tickets.BREAKS),
    Entry(_children, children.BREAKS),
    Entry(_answers, calls.ANSWER_BREAKS),
    Entry(_allowance, calls.ALLOWANCE_BREAKS),
    Entry(_drain, drain.BREAKS),
    Entry(_settings, settings.BREAKS),
)
BREAKS: tuple[str, ...] = tuple(name for entry in TABLE for name in entry.breaks)


def check_all(bound: Bound) -> tuple[CheckResult, ...]:
    """Check every specification without planted bugs."""
    return tuple(check(entry.make(bound, NO_BUGS), MAX_STATES) for entry in TABLE)


def check_planted_bug(name: str) -> CheckResult:
    """Check a specification with one planted bug, at the small bound.

    Parameters
    ----------
    name : str
        Name of the bug, one of `BREAKS`.

    Returns
    -------
    CheckResult
        Result, which should contain a counterexample.
    """
    entry = next(entry for entry in TABLE if name in entry.breaks)
    return find_counterexample(entry.make(Bound.SMALL, frozenset({name})), MAX_STATES)
