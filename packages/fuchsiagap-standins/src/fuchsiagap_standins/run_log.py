"""Records of the runs of calls, and checks for duplicate runs and false refusals."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.clock import Milliseconds


class RunState(Enum):
    """State of a run.

    A run that is `BACKED_OUT` had no effect, nor had any of its child calls, and its
    answer stated "not run". Runs in all other states may have had an effect.
    """

    STARTED = "started"
    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"
    BACKED_OUT = "backed-out"


@dataclass(slots=True)
class Run:
    """One run of one call on one backend server.

    Parameters
    ----------
    instance : str
        Name of the backend server.
    route : str
        Name of the route.
    idempotent : bool
        Whether the route may run more than once per call.
    nonce, place : str
        Nonce and place of the mark of the call.
    call_id : str
        Id that the node gave to the attempt.
    started : float
        Start time in milliseconds on the clock of the backend server.
    state : RunState
        State of the run.
    """

    instance: str
    route: str
    idempotent: bool
    nonce: str
    place: str
    call_id: str
    started: Milliseconds
    state: RunState = RunState.STARTED

    @property
    def had_effect(self) -> bool:
        """Whether the run may have had an effect."""
        return self.state is not RunState.BACKED_OUT

    def to_json(self) -> dict[str, Any]:
        """Return the run as an object for JSON, the inverse of `run_from_json`."""
        return {
            "instance": self.instance,
            "route": self.route,
            "idempotent": self.idempotent,
            "nonce": self.nonce,
            "place": self.place,
            "call_id": self.call_id,
            "started": self.started,
            "state": self.state.value,
        }


def run_from_json(entry: dict[str, Any]) -> Run:
    """Return the run from the output of `Run.to_json`."""
    return Run(**(entry | {"state": RunState(entry["state"])}))


def double_runs(runs: Iterable[Run]) -> list[tuple[str, str, str]]:
    """Return the non-idempotent calls that ran more than once.

    Only runs that may have had an effect and whose call has a nonce are counted.

    Parameters
    ----------
    runs : iterable of Run
        From the logs of all backend servers.

    Returns
    -------
    list of tuple
        (nonce, place, route) of each call, sorted.
    """
    counts = Counter(
        (run.nonce, run.place, run.route)
        for run in runs
        if run.had_effect and not run.idempotent and run.nonce
    )
    return sorted(mark for mark, count in counts.items() if count > 1)


def false_refusals(runs: Iterable[Run], refused: Iterable[str]) -> list[str]:
    """Return the nonces of requests that were reported as not run although they ran.

    A request has run if its root call or a non-idempotent child call of it has a run
    that may have had an effect.

    Parameters
    ----------
    runs : iterable of Run
        From the logs of all backend servers.
    refused : iterable of str
        Nonces of the client requests whose callers were told "not run".
    """
    ran = {run.nonce for run in runs if run.had_effect and not run.idempotent}
    ran |= {run.nonce for run in runs if run.had_effect and run.place == "0"}
    return sorted(ran.intersection(refused))
