"""State of one run at the home node of its ticket, and the results of claiming it.

The home node of a ticket is the node that issued it, or the successor to which that
node handed over its window. Burning a ticket revokes it: its request will not be
started any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import trio

    from fuchsiagap.core.calls.outcome import Answered, Outcome, Unknown
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class Successor:
    """The node that takes over the tickets of a stopping node.

    Parameters
    ----------
    node : str
        Name of the successor.
    address : str
        ``IP:PORT`` at which other nodes reach it.
    """

    node: str
    address: str


# The ticket sequence of a root call; for a child call, the pair of the root's sequence
# and the child key.
RunKey: TypeAlias = int | tuple[int, str]


def run_key(sequence: int, child_key: str) -> RunKey:
    """Return the key of a run within its ticket window.

    Parameters
    ----------
    sequence : int
        Sequence of the root's ticket.
    child_key : str
        Key of the child call under its root; empty for the root call.

    Returns
    -------
    RunKey
        The key, unique within the window.
    """
    if child_key:
        return (sequence, child_key)
    return sequence


@dataclass(slots=True)
class RunRecord:
    """One started run and, once it has ended, its outcome.

    Parameters
    ----------
    key : RunKey
        The key within the window.
    fingerprint : bytes
        Digest of the request, to detect a ticket that is used for two requests.
    outcome : Answered or Unknown or None
        The outcome kept for repeats; None while the run is in progress.
    burn : bool
        Whether to burn the ticket if the run is refused. Otherwise the ticket can be
        used again.
    is_remote : bool
        Whether the run was started by a previous home node of the ticket.
    ended : trio.Event or None
        Set when the run ends. Created by the first task that waits for the end; None
        if no task waits.
    final_outcome : Outcome or None
        The outcome reported to waiting tasks: the kept outcome, or `Refused`.
    """

    key: RunKey
    fingerprint: bytes
    outcome: Answered | Unknown | None = None
    burn: bool = False
    is_remote: bool = False
    ended: trio.Event | None = None
    final_outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Start:
    """The claim succeeded: the caller must start the run, once.

    Parameters
    ----------
    record : RunRecord
        The new record of the run, to be passed to `TicketWindow.finish`.
    """

    record: RunRecord


@dataclass(frozen=True, slots=True)
class InProgress:
    """The run was started before and is still in progress.

    Parameters
    ----------
    record : RunRecord
        The record of the run.
    """

    record: RunRecord


@dataclass(frozen=True, slots=True)
class KeptOutcome:
    """The run has ended, and its outcome is kept.

    Parameters
    ----------
    outcome : Answered or Unknown
        The outcome.
    """

    outcome: Answered | Unknown


@dataclass(frozen=True, slots=True)
class Burnt:
    """The ticket is revoked: the run was not started and never will be."""


@dataclass(frozen=True, slots=True)
class Forgotten:
    """The run may have been started, but its state is no longer kept.

    Parameters
    ----------
    detail : str
        Human-readable reason.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class RequestMismatch:
    """The ticket was already used for a request with different content."""


@dataclass(frozen=True, slots=True)
class WindowFrozen:
    """The run was not started here, and the window no longer starts runs.

    The window is being handed over to another node, or has been.
    """


Claim: TypeAlias = (
    Start
    | InProgress
    | KeptOutcome
    | Burnt
    | Forgotten
    | RequestMismatch
    | WindowFrozen
)
Settled: TypeAlias = InProgress | KeptOutcome | Burnt | Forgotten | WindowFrozen


@dataclass(frozen=True, slots=True)
class NotIssued:
    """No tickets can be issued now.

    Issuing more would drop tickets that have not reached their minimum age.

    Parameters
    ----------
    retry_after : float
        Milliseconds after which to ask again.
    """

    retry_after: Milliseconds
