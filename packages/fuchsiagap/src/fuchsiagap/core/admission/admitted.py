"""The decision on one call: admitted, or which admission level rejects it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.admission.position import level_at, position_of

if TYPE_CHECKING:
    from fuchsiagap.core.admission.downstream import DownstreamLevels
    from fuchsiagap.core.admission.level import AdmissionLevel
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds

# Human-readable details of refusals.
OWN_LEVEL = "the admission level of this instance does not admit the call"
DOWNSTREAM_LEVEL = "the admission level of a downstream service does not admit the call"
QUEUE_FULL = "the queue of this instance is full of calls at least as important"


@dataclass(frozen=True, slots=True, eq=False)
class Admitted:
    """A call that may be handed to the backend server now.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    started_at : float
        Time of admission in milliseconds.
    waited : float
        Milliseconds the call spent in the queue.
    in_flight : int
        Calls in progress at admission, including this one.
    """

    head: CallHead
    started_at: Milliseconds
    waited: Milliseconds
    in_flight: int


def find_rejecting_level(
    head: CallHead, level: AdmissionLevel, downstream: DownstreamLevels
) -> str | None:
    """Return which level rejects a call.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    level : AdmissionLevel
        Level of this gate.
    downstream : DownstreamLevels
        Levels of the downstream services.

    Returns
    -------
    str or None
        `OWN_LEVEL` or `DOWNSTREAM_LEVEL`; None if the call is admitted.
    """
    wanted = position_of(head.priority, head.cohort)
    # Refusing a call of a chain that was admitted upstream wastes the work already done
    # for the chain, so such a call is judged by the highest recent level. But it must
    # not run before more important calls, so its priority has to be within the current
    # level.
    in_chain = head.depth > 1
    own = level.position
    if wanted > own:
        is_late_in_chain = in_chain and wanted <= level.chain_position
        if not is_late_in_chain or head.priority > level_at(own)[0]:
            return OWN_LEVEL
    if in_chain:
        return (
            DOWNSTREAM_LEVEL if wanted > downstream.chain_position(head.route) else None
        )
    if wanted > downstream.position(head.route) and not downstream.may_probe(head):
        return DOWNSTREAM_LEVEL
    return None
