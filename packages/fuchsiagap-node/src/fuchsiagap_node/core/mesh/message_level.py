"""Extension level of the messages that a node understands.

Nodes of the release before level 1 reject messages with additional fields. The level is
announced at the end of the identifier of the process, which these nodes do not
interpret, so that nodes of both releases stay linked during an upgrade.
"""

from __future__ import annotations

import re

# Highest level that this release understands.
MESSAGE_LEVEL = 1
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
