"""Metadata of a call that is passed from node to node."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.tickets.ticket import Ticket

N_COHORTS = 128
# Maximum depth of a call chain, in calls.
MAX_DEPTH = 15
# Calls with a higher number are refused earlier under overload.
LEAST_PRIORITY = 9
MOST_PRIORITY = 0

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True, order=True)
class ServiceName:
    """Qualified name of a service.

    Parameters
    ----------
    team : str
        Team (customer) that owns the service and whose settings apply to it.
    name : str
        Name of the service within the team.
    """

    team: str
    name: str

    def __str__(self) -> str:
        return f"{self.team}/{self.name}"


@dataclass(frozen=True, slots=True)
class CallHead:
    """Metadata of one call.

    All calls in the chain of one client request share `root_id`, `priority`,
    `cohort` and the deadline. The allowance is divided among them.

    Parameters
    ----------
    call_id : str
        Identifier of this call (one attempt at one service), unique over all
        processes.
    root_id : str
        Identifier of the client request that the call belongs to.
    parent_id : str
        Identifier of the call whose backend server made this call; empty for a root
        call.
    service : ServiceName
        Called service.
    route : str
        Section of the team's settings that applies to the call, for example
        ``"certs/issue"``.
    method, target : str
        HTTP method, and path with query as sent to the backend server.
    headers : tuple of (str, str)
        End-to-end HTTP headers, with names in lower case.
    priority : int
        Priority, from `MOST_PRIORITY` to `LEAST_PRIORITY`.
    cohort : int
        Number from 0 to `N_COHORTS` - 1, derived from `root_id`. Load shedding
        refuses whole cohorts, so that it refuses whole call chains.
    deadline : float
        Deadline in milliseconds on the clock of the process that holds the head. On
        the wire it is the remaining time.
    allowance : int
        Number of extra attempts that this call and the calls below it may still make.
    idempotent : bool
        Whether the call may run more than once.
    ticket : Ticket or None
        Ticket of the root request, if the caller presented one.
    child_key : str
        Key that identifies a nested call under its root; empty for a root call.
    depth : int
        Depth in the call chain; 1 for a root call.
    """

    call_id: str
    root_id: str
    parent_id: str
    service: ServiceName
    route: str
    method: str
    target: str
    headers: Headers
    priority: int
    cohort: int
    deadline: Milliseconds
    allowance: int
    idempotent: bool
    ticket: Ticket | None = None
    child_key: str = ""
    depth: int = 1

    def with_allowance(self, allowance: int) -> CallHead:
        """Return a copy of the head with another allowance."""
        return replace(self, allowance=allowance)


def cohort_of(root_id: str) -> int:
    """Return the cohort of a root request, which is the same on every node.

    Parameters
    ----------
    root_id : str
        Identifier of the root request.

    Returns
    -------
    int
        Cohort, from 0 to `N_COHORTS` - 1.
    """
    return zlib.crc32(root_id.encode()) % N_COHORTS
