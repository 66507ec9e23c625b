"""What becomes of a request at a door: `Answered`, `NotRun` or `MayHaveRun`.

The two sides of a link exchange these; the kinds mirror
`fuchsiagap.core.calls.outcome`, with the answer as the bytes that go to the caller.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias


class Answered(NamedTuple):
    """The backend server answered, and the answer is whole.

    Parameters
    ----------
    status : int
        HTTP status.
    reason, headers, body : bytes
        Reason phrase, header lines and body as they go to the caller.
    """

    status: int
    reason: bytes
    headers: bytes
    body: bytes


class NotRun(NamedTuple):
    """The request did not run and never will.

    Parameters
    ----------
    reason : str
        Why.
    offered : bool
        Whether the backend server itself turned it down: it then counts as an
        arrival there.
    """

    reason: str
    offered: bool = False


class MayHaveRun(NamedTuple):
    """The request was handed to a backend server and no whole answer came.

    Parameters
    ----------
    reason : str
        Why.
    """

    reason: str


Outcome: TypeAlias = Answered | NotRun | MayHaveRun

# Reasons that several modules give.
LEAVING = "leaving"
QUEUE_FULL = "queue full"
EXPIRED = "deadline passed"
CANCELLED = "caller left"
LINK_LOST = "link lost"
NO_BACKEND = "no backend server"
NO_BUDGET = "no budget for a repeat"
OTHER_INCARNATION = "another incarnation"
QUARANTINED = "quarantined"
