"""Outcome of a call to a backend server: `Answered`, `NotRun` or `MayHaveRun`.

Replies on links carry these outcomes. The kinds mirror `fuchsiagap.core.calls.outcome`,
with the answer as the bytes that go to the caller.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias


class Answered(NamedTuple):
    """The backend server answered, and the answer is complete.

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
    """The request did not run and will not run.

    Parameters
    ----------
    reason : str
        Why it did not run.
    offered : bool
        Whether the backend server itself refused it; it then counts as an arrival
        there.
    """

    reason: str
    offered: bool = False


class MayHaveRun(NamedTuple):
    """The request was sent to a backend server and no complete answer came.

    Parameters
    ----------
    reason : str
        Why there is no answer.
    """

    reason: str


Outcome: TypeAlias = Answered | NotRun | MayHaveRun

# Reasons that are used by several modules.
LEAVING = "leaving"
QUEUE_FULL = "queue full"
EXPIRED = "deadline passed"
CANCELLED = "caller left"
LINK_LOST = "link lost"
NO_BACKEND = "no backend server"
NO_MEMORY = "no memory for the body"
NAMED_LIMIT = "limit named by the server"
NO_BUDGET = "no budget for a repeat"
OTHER_INCARNATION = "another incarnation"
QUARANTINED = "quarantined"
