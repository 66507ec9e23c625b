"""Data of the backend server stand-in: settings, faults, calls and results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_standins.answers import CallMark
    from fuchsiagap_standins.graphs.model import Graph, GraphRoute


class LoadReportMode(Enum):
    """What the backend server's load endpoint says."""

    TRUE = "true"
    FROZEN = "frozen"
    LYING = "lying"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class BackendFaults:
    """What is wrong with a backend server; the default is nothing.

    Parameters
    ----------
    slow : float
        Factor on its own work.
    shedding : bool
        It refuses every call, as not run.
    lose_answers : float
        Probability that the connection is lost after the run, before the answer.
    hang : float
        Probability that a call is never answered.
    load_word : LoadReportMode
        What it says of its load.
    load_lag : float
        Milliseconds for which it says the same again.
    """

    slow: float = 1.0
    shedding: bool = False
    lose_answers: float = 0.0
    hang: float = 0.0
    load_word: LoadReportMode = LoadReportMode.TRUE
    load_lag: Milliseconds = 0.0


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """What a backend server is.

    Parameters
    ----------
    graph : Graph
        The call graph.
    service : str
        The service it is an instance of.
    name : str
        Name of the instance.
    queue : int
        Calls that may wait for a slot; more are shed.
    cold_start : float
        Milliseconds in which it gets from `cold_factor` times slower to normal.
    cold_factor : float
        Factor on its work when it has just started.
    """

    graph: Graph
    service: str
    name: str
    queue: int = 64
    cold_start: Milliseconds = 0.0
    cold_factor: float = 5.0

    @property
    def slots(self) -> int:
        """Calls it works on at once."""
        return self.graph.service(self.service).slots


@dataclass(frozen=True, slots=True)
class BackendCall:
    """One call as the backend server gets it.

    Parameters
    ----------
    call_id : str
        The node's id, to be passed on with calls of its own.
    method, target : str
        HTTP method and path.
    mark : CallMark
        Mark of the call.
    """

    call_id: str
    method: str
    target: str
    mark: CallMark


@dataclass(frozen=True, slots=True)
class BackendReply:
    """The backend server's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        The body.
    not_run : bool
        Whether it says that the call was not run.
    lost : bool
        Whether the connection is to be lost instead of answering.
    """

    status: int
    body: bytes = b""
    not_run: bool = False
    lost: bool = False


@dataclass(frozen=True, slots=True)
class ChildCall:
    """A call that a backend server makes through its local node.

    Parameters
    ----------
    parent_call : str
        Id of the call it works on.
    child_key : str
        Key of this call among those of the same parent.
    route : GraphRoute
        What is called.
    target : str
        Path within the service.
    mark : CallMark
        Mark of this call.
    """

    parent_call: str
    child_key: str
    route: GraphRoute
    target: str
    mark: CallMark


class ChildOutcome(Enum):
    """What became of a call further down."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ChildResult:
    """The result of a call further down.

    Parameters
    ----------
    outcome : ChildOutcome
        What the node said.
    status : int
        HTTP status.
    body : bytes
        The answer's body.
    """

    outcome: ChildOutcome
    status: int = 0
    body: bytes = b""


CallOut: TypeAlias = "Callable[[ChildCall], Awaitable[ChildResult]]"
