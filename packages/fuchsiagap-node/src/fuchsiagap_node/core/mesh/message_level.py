"""Extension level of the messages that a node understands.

Nodes of the release before level 1 reject messages with additional fields, and those
before level 2 reject the messages about departures. The level is announced at the end
of the identifier of the process, which these nodes do not interpret, so that nodes of
all releases stay linked during an upgrade.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.departures import Departure
from fuchsiagap_node.core.mesh.messages import DepartureReceipt

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.messages import Message

# Highest level that this release understands.
MESSAGE_LEVEL = 2
# Level below which a receiver rejects a message; 0 for all others.
_REQUIRED_LEVELS: dict[type, int] = {Departure: 2, DepartureReceipt: 2}
_SUFFIX = re.compile(r"~([1-9][0-9]{0,3})", re.ASCII)


def with_level(incarnation: str) -> str:
    """Return the identifier of a process with the level of this release."""
    return f"{incarnation}~{MESSAGE_LEVEL}"


def message_level(incarnation: str) -> int:
    """Return the level that both this release and another process understand.

    Parameters
    ----------
    incarnation : str
        Identifier of the other process.

    Returns
    -------
    int
        0 if the identifier has no valid level.
    """
    _, separator, level = incarnation.rpartition("~")
    if not _SUFFIX.fullmatch(separator + level):
        return 0
    return min(int(level), MESSAGE_LEVEL)


def is_understood(message: Message, level: int) -> bool:
    """Whether a receiver of a level understands a message.

    Parameters
    ----------
    message : Message
        The message.
    level : int
        Level of the receiver.
    """
    return _REQUIRED_LEVELS.get(type(message), 0) <= level
