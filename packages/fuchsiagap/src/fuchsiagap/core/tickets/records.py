"""What the home of a ticket knows of one run, and what it decides."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import trio

    from fuchsiagap.core.calls.outcome import Answered, Outcome, Unknown
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class Successor:
    """The node that answers for a life that stopped.

    Parameters
    ----------
    node : str
        Its name.
    address : str
        ``IP:PORT`` for other nodes.
    """

    node: str
    address: str


# The sequence of a root call, or with it the key of a child call under the root.
RunKey: TypeAlias = int | tuple[int, str]


def run_key(sequence: int, child_key: str) -> RunKey:
    """Return the key of a run.

    Parameters
    ----------
    sequence : int
        Sequence of the root's ticket.
    child_key : str
        Key of the child call under its root; empty for the root call.

    Returns
    -------
    RunKey
        The key within the window.
    """
    if child_key:
        return (sequence, child_key)
    return sequence


@dataclass(slots=True)
class RunRecord:
    """One run that was started, and its outcome once there is one.

    Parameters
    ----------
    key : RunKey
        The key within the window.
    fingerprint : bytes
        Digest of the request, so that a ticket used for two requests is noticed.
    outcome : Answered or Unknown or None
        The kept outcome; None while the run is in progress.
    burn : bool
        Whether a true refusal shall burn the ticket and not open it again.
    elsewhere : bool
        Whether the run is one of the node that handed the window over.
    ended : trio.Event or None
        Set when the run ends; made by the first who waits, and only while it goes on.
    last : Outcome or None
        What those who wait are told: the kept outcome, or `Refused`.
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
    """The run is the caller's to start, once."""

    record: RunRecord


@dataclass(frozen=True, slots=True)
class InProgress:
    """The run was started before and has not ended."""

    record: RunRecord


@dataclass(frozen=True, slots=True)
class KeptOutcome:
    """The run has ended, and this is its outcome."""

    outcome: Answered | Unknown


@dataclass(frozen=True, slots=True)
class Burnt:
    """The run was not started and never will be."""


@dataclass(frozen=True, slots=True)
class Forgotten:
    """The run may have been started; nothing more is known.

    Parameters
    ----------
    detail : str
        Why, for people.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class RequestMismatch:
    """The ticket was used for a request of other content."""


@dataclass(frozen=True, slots=True)
class WindowFrozen:
    """The run was not started here, and the window is handed over or was."""


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
    """No tickets now: the window would push out young ones.

    Parameters
    ----------
    retry_after : float
        Milliseconds until the oldest page is old enough.
    """

    retry_after: Milliseconds
