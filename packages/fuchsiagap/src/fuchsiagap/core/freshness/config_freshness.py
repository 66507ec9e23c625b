"""Since when a node cannot know of changes to the configuration.

A revocation has to be in force everywhere within a bound, at nodes that are cut off as
well. So each node knows a moment up to which no change can have escaped it, and past
the bound it answers no more for keys.

That moment comes from the store: whoever asked it at a time and got an answer knows all
that was acknowledged before the question. Passed on by another node it counts from the
question to that node less the age in its answer. Both are times of the asking node's
own clock, and time under way makes the moment earlier, never later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


class ConfigFreshness:
    """The moment up to which the configuration in force is known to be the newest.

    Attributes
    ----------
    as_of : float
        That moment; minus infinity before the first.
    """

    def __init__(self) -> None:
        self.as_of: Milliseconds = float("-inf")
        # A moment at which a version was the newest that is not in force here yet.
        self._pending_version = 0
        self._pending_as_of: Milliseconds = float("-inf")

    def confirm(self, version: int, as_of: Milliseconds, in_force: int) -> None:
        """Take in that a version was the newest at a moment.

        One that is older than the one in force here proves nothing: whoever says so may
        have it from a store that has lost the newer ones.

        Parameters
        ----------
        version : int
            The version.
        as_of : float
            The moment.
        in_force : int
            Version in force here.
        """
        if version == in_force:
            self.as_of = max(self.as_of, as_of)
        elif version > in_force and as_of > self._pending_as_of:
            self._pending_version = version
            self._pending_as_of = as_of

    def adopt(self, version: int) -> None:
        """Take in that a version is in force here from now on."""
        if version >= self._pending_version:
            self.as_of = max(self.as_of, self._pending_as_of)
