"""Outcome of a call: `Answered`, `Refused` or `Unknown`.

`Refused` guarantees that the call did not run. It is allowed only if the call was
provably not handed to a backend server.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import Headers
    from fuchsiagap.core.clock import Milliseconds


class Reason(Enum):
    """Reason for which a call was refused, or for which its outcome is unknown."""

    OVERLOAD = "overload"
    LEAVING = "leaving"
    STARTING = "starting"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    NO_BACKEND = "no-backend"
    NO_ROUTE = "no-route"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    TOO_DEEP = "too-deep"
    NEEDS_TICKET = "needs-ticket"
    # The request of the ticket did not run and never will.
    TICKET_BURNT = "ticket-burnt"
    # The node no longer remembers whether the request of the ticket ran.
    TICKET_FORGOTTEN = "ticket-forgotten"
    TICKET_IN_PROGRESS = "ticket-in-progress"
    # No node is known that holds the ticket.
    HOME_GONE = "home-gone"
    CONNECTION_LOST = "connection-lost"
    NODE_FAILED = "node-failed"
    INCOMPLETE_ANSWER = "incomplete-answer"
    BACKEND_REFUSED = "backend-refused"
    # The backend server refused the call after one of its nested calls was refused.
    REFUSED_BELOW = "refused-below"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one instance for one route, returned with the outcome of a call.

    Parameters
    ----------
    level_priority, level_cohort : int
        Admission level: calls are admitted if (priority, cohort) is at most this
        pair. It takes the load of downstream services into account.
    in_flight : int
        Number of calls in progress at the backend server.
    limit : int
        Current concurrency limit.
    queued : int
        Number of queued calls.
    """

    level_priority: int
    level_cohort: int
    in_flight: int
    limit: int
    queued: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server answered, and the answer is complete.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    allowance : int
        Unused part of the allowance, returned to the caller.
    load : LoadReport or None
        Load of the answering instance.
    repeated : bool
        Whether this is the stored answer of an earlier run.
    """

    status: int
    headers: Headers
    body: bytes
    allowance: int = 0
    load: LoadReport | None = None
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The call did not run.

    Parameters
    ----------
    reason : Reason
        Reason of the refusal.
    retry_after : float
        Milliseconds after which the caller may retry.
    allowance : int
        Unused part of the allowance, returned to the caller.
    load : LoadReport or None
        Load of the refusing instance.
    detail : str
        Message for people: what was wrong, what was expected and what to do.
    """

    reason: Reason
    retry_after: Milliseconds = 0.0
    allowance: int = 0
    load: LoadReport | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call may have run.

    Parameters
    ----------
    reason : Reason
        Reason for which the outcome is unknown.
    allowance : int
        Unused part of the allowance, returned to the caller.
    load : LoadReport or None
        Load of the instance, if it answered.
    detail : str
        Message for people.
    """

    reason: Reason
    allowance: int = 0
    load: LoadReport | None = None
    detail: str = field(default="")


Outcome: TypeAlias = Answered | Refused | Unknown
