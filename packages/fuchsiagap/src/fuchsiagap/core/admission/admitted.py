"""What a gate says of a call: that it passed, or why not."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.admission.position import level_at, position_of

if TYPE_CHECKING:
    from fuchsiagap.core.admission.downstream import DownstreamLevels
    from fuchsiagap.core.admission.level import AdmissionLevel
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds

# Details of refusals, for people.
OWN_LEVEL = "the admission level of this instance is below the call's"
DOWNSTREAM_LEVEL = (
    "the admission level of a service that the call needs is below its own"
)
QUEUE_FULL = "the queue of this instance is full of calls at least as important"


@dataclass(frozen=True, slots=True, eq=False)
class Admitted:
    """A call that may be handed to the backend server now.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    started_at : float
        When it passed the gate.
    waited : float
        Milliseconds it waited before.
    in_flight : int
        Calls in progress then, itself included.
    """

    head: CallHead
    started_at: Milliseconds
    waited: Milliseconds
    in_flight: int


def find_rejecting_level(
    head: CallHead, level: AdmissionLevel, below: DownstreamLevels
) -> str | None:
    """Return which level shuts a call out.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    level : AdmissionLevel
        The gate's own level.
    below : DownstreamLevels
        Levels of the services below.

    Returns
    -------
    str or None
        `OWN_LEVEL` or `DOWNSTREAM_LEVEL`; None if the call may enter.
    """
    wanted = position_of(head.priority, head.cohort)
    # A chain that was let in further up has work behind it: it is judged by the
    # levels of that time, but never goes before a more important call.
    in_chain = head.depth > 1
    own = level.position
    if wanted > own:
        is_late_in_chain = in_chain and wanted <= level.chain_position
        if not is_late_in_chain or head.priority > level_at(own)[0]:
            return OWN_LEVEL
    if in_chain:
        return DOWNSTREAM_LEVEL if wanted > below.chain_position(head.route) else None
    if wanted > below.position(head.route) and not below.may_probe(head):
        return DOWNSTREAM_LEVEL
    return None
