"""Data types of the backend server stand-in: settings, faults, calls and results."""

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
    """How the load endpoint of a backend server answers.

    `TRUE` reports the current load, `FROZEN` repeats the last report if there is one,
    `LYING` reports an idle server with more slots than it has, and `SILENT` gives no
    report.
    """

    TRUE = "true"
    FROZEN = "frozen"
    LYING = "lying"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class BackendFaults:
    """Fault switches of a backend server; by default there are no faults.

    Parameters
    ----------
    slow : float
        Factor on the service time.
    shedding : bool
        Whether every call is refused as not run.
    lose_answers : float
        Probability that the connection is closed after the run, before the answer.
    hang : float
        Probability that a call is never answered.
    load_word : LoadReportMode
        How the load endpoint answers.
    load_lag : float
        Milliseconds for which a load report is repeated before it is renewed.
    """

    slow: float = 1.0
    shedding: bool = False
    lose_answers: float = 0.0
    hang: float = 0.0
    load_word: LoadReportMode = LoadReportMode.TRUE
    load_lag: Milliseconds = 0.0


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """Settings of a backend server.

    Parameters
    ----------
    graph : Graph
        The call graph.
    service : str
        Service that the server is an instance of.
    name : str
        Name of the instance.
    queue : int
        Maximum number of calls that wait for a slot; further calls are shed.
    cold_start : float
        Milliseconds in which the factor on the service time falls linearly from
        `cold_factor` to 1.
    cold_factor : float
        Factor on the service time of a server that has just started.
    """

    graph: Graph
    service: str
    name: str
    queue: int = 64
    cold_start: Milliseconds = 0.0
    cold_factor: float = 5.0

    @property
    def slots(self) -> int:
        """Maximum number of calls that run concurrently."""
        return self.graph.service(self.service).slots


@dataclass(frozen=True, slots=True)
class BackendCall:
    """One call as the backend server receives it.

    Parameters
    ----------
    call_id : str
        Id given by the node; child calls carry it as the id of their parent.
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
    """Answer of the backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of the answer.
    not_run : bool
        Whether the answer states that the call was not run.
    lost : bool
        Whether to close the connection instead of sending the answer.
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
        Id of the call that makes this one.
    child_key : str
        Key of this call, unique among the child calls of the same parent.
    route : GraphRoute
        Called route.
    target : str
        Path within the service.
    mark : CallMark
        Mark of this child call.
    """

    parent_call: str
    child_key: str
    route: GraphRoute
    target: str
    mark: CallMark


class ChildOutcome(Enum):
    """Outcome of a child call.

    `ANSWERED` means that the backend server answered, with any HTTP status, `REFUSED`
    that the call was not run, and `UNKNOWN` that it may have run.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ChildResult:
    """Result of a child call.

    Parameters
    ----------
    outcome : ChildOutcome
        Outcome as reported by the node, or concluded from a transport error.
    status : int
        HTTP status; 0 if there was no response.
    body : bytes
        Body of the answer.
    """

    outcome: ChildOutcome
    status: int = 0
    body: bytes = b""


CallOut: TypeAlias = "Callable[[ChildCall], Awaitable[ChildResult]]"
