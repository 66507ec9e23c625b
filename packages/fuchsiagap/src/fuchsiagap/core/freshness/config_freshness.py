"""The time up to which a node's configuration is known to be the newest.

A revocation has to be in force everywhere within a bound, even at nodes that have lost
the connection to the store. So each node keeps the latest time at which its
configuration was certainly the newest. Once that is longer ago than the bound, the node
refuses requests that carry API keys.

The time comes from the store: a node that asked it at a time and got an answer knows
every change that was acknowledged before the question. Passed on by another node, the
time is that of the question to that node minus the age in its answer. Both are readings
of the asking node's own clock, and delays in transit make the result earlier, never
later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


class ConfigFreshness:
    """The time up to which the configuration in force is known to be the newest.

    Attributes
    ----------
    as_of : float
        That time in milliseconds; minus infinity if none is known yet.
    """

    def __init__(self) -> None:
        self.as_of: Milliseconds = float("-inf")
        # A newer version that is not in force here yet, and when it was the newest.
        self._pending_version = 0
        self._pending_as_of: Milliseconds = float("-inf")

    def confirm(self, version: int, as_of: Milliseconds, in_force: int) -> None:
        """Record that a version was the newest at a time.

        A version older than the one in force proves nothing, since it may come from a
        store that has lost the newer ones.

        Parameters
        ----------
        version : int
            The version.
        as_of : float
            Time in milliseconds at which it was the newest.
        in_force : int
            Version in force on this node.
        """
        if version == in_force:
            self.as_of = max(self.as_of, as_of)
        elif version > in_force and as_of > self._pending_as_of:
            self._pending_version = version
            self._pending_as_of = as_of

    def adopt(self, version: int) -> None:
        """Record that a version is in force on this node from now on."""
        if version >= self._pending_version:
            self.as_of = max(self.as_of, self._pending_as_of)
