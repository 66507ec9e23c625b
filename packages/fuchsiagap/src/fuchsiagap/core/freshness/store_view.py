"""A node's view of the store: epoch, position in its history, newest version.

A store that is restored from a backup begins a new epoch: it lacks what was written
after the backup, and assigns the same revisions again. So revisions are compared only
within one epoch. Across epochs, the version numbers that operators assign to
configurations decide which one is newer.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Epoch of an answer that does not contain one.
NO_EPOCH = -1
# Milliseconds for which a cursor can be used to start a watch. A store keeps its
# history for some tens of seconds, and sometimes for less.
_CURSOR_LIFETIME_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Cursor:
    """A position in the history of the store.

    Parameters
    ----------
    epoch : int
        Epoch of the store; `NO_EPOCH` if unknown.
    revision : int
        Number of changes before this position, as counted by the store in that epoch.
    """

    epoch: int
    revision: int


class PositionCheck(Enum):
    """What the position of the store shows about the configuration at the cursor."""

    CURRENT = "current"  # nothing was written after the cursor
    AHEAD = "ahead"  # something was, perhaps a configuration
    BEHIND = "behind"  # the answer is older than the cursor, so it shows nothing


class StoreView:
    """State of the store as far as its answers show it.

    Parameters
    ----------
    settle : float
        Milliseconds after a restore in which the store may lack acknowledged versions,
        until they are written again.

    Attributes
    ----------
    epoch : int
        Epoch of the last answer that contained one.
    cursor : Cursor or None
        Where to start the next watch; None if the configuration has to be read first.
    version : int
        Newest version in the store at the cursor.
    is_proven : bool
        Whether the version at the cursor is known to be the newest there, and no later
        change can have been missed by a watch.
    """

    def __init__(self, settle: Milliseconds = 0.0) -> None:
        self._settle = settle
        self._reliable_from: Milliseconds = float("-inf")
        self._as_of: Milliseconds = float("-inf")
        self._peer_epoch = NO_EPOCH
        self.epoch = NO_EPOCH
        self.cursor: Cursor | None = None
        self.version = 0
        self.is_proven = False

    def note_epoch(self, epoch: int, now: Milliseconds) -> bool:
        """Record the epoch of an answer; return whether it invalidates the cursor."""
        if epoch in (NO_EPOCH, self.epoch):
            return False
        cursor_epoch = NO_EPOCH if self.cursor is None else self.cursor.epoch
        # If any other epoch was known before, the store has been restored.
        if {self.epoch, self._peer_epoch, cursor_epoch} - {NO_EPOCH, epoch}:
            self._reliable_from = now + self._settle
        self.epoch = epoch
        if cursor_epoch in (NO_EPOCH, epoch):
            return False
        self.cursor = None
        return True

    def note_peer_epoch(self, epoch: int) -> None:
        """Record an epoch known to another node, until the store has sent one."""
        if self.epoch == NO_EPOCH and epoch != NO_EPOCH:
            self._peer_epoch = epoch

    def note_read(self, cursor: Cursor, version: int, now: Milliseconds) -> None:
        """Record that a version was the newest when the store was asked.

        Parameters
        ----------
        cursor : Cursor
            Position of the answer.
        version : int
            The version.
        now : float
            Time in milliseconds.
        """
        self.note_epoch(cursor.epoch, now)
        if self.cursor is not None and cursor.revision < self.cursor.revision:
            # The store was restored without announcing a new epoch.
            self._reliable_from = now + self._settle
        self._move_to(cursor, version, now)
        self.is_proven = True

    def note_older_read(self, cursor: Cursor, version: int, now: Milliseconds) -> None:
        """Record a version that may have been replaced since.

        Parameters
        ----------
        cursor : Cursor
            Position of the answer.
        version : int
            The version.
        now : float
            Time in milliseconds.
        """
        self.note_epoch(cursor.epoch, now)
        if self.cursor is None:
            self._move_to(cursor, version, now)
            self.is_proven = False

    def note_watch(
        self, cursor: Cursor, version: int | None, now: Milliseconds
    ) -> bool:
        """Record the result of a watch from the cursor; return whether it is valid.

        A watch that reports no change although the revision is higher proves nothing:
        another object may have changed, or the store may have lost the history.

        Parameters
        ----------
        cursor : Cursor
            Where to start the next watch.
        version : int or None
            Newest version among the changes; None if there was none.
        now : float
            Time in milliseconds.
        """
        if self.note_epoch(cursor.epoch, now) or self.cursor is None:
            return False
        if cursor.revision < self.cursor.revision:
            self.cursor = None
            return False
        is_proven = version is not None or (
            self.is_proven and cursor.revision == self.cursor.revision
        )
        self._move_to(cursor, self.version if version is None else version, now)
        self.is_proven = is_proven
        return is_proven

    def note_interruption(self) -> None:
        """Record that a watch ended without a result, and may have missed changes."""
        self.is_proven = False

    def check_position(self, position: Cursor) -> PositionCheck:
        """Compare a position of the store with the cursor.

        Parameters
        ----------
        position : Cursor
            Position in an answer whose epoch was recorded by `note_epoch`.
        """
        if self.cursor is None or position.revision > self.cursor.revision:
            return PositionCheck.AHEAD
        if position.revision < self.cursor.revision:
            return PositionCheck.BEHIND
        return PositionCheck.CURRENT

    def note_unchanged(self, position: Cursor, changed_at: int) -> bool:
        """Record at which revision the configuration last changed, as of a position.

        Returns whether the configuration at the cursor is still the newest; then the
        cursor moves to the position.

        Parameters
        ----------
        position : Cursor
            Position of the answer.
        changed_at : int
            Revision of the last change up to the position.
        """
        if self.cursor is None or changed_at > self.cursor.revision:
            return False
        if position.revision > self.cursor.revision:
            self.cursor = Cursor(self.cursor.epoch, position.revision)
        return True

    def note_version(self, cursor: Cursor, version: int, now: Milliseconds) -> None:
        """Record the position of a version in the history, as reported by another node.

        Parameters
        ----------
        cursor : Cursor
            The position.
        version : int
            The version.
        now : float
            Time in milliseconds.
        """
        if NO_EPOCH not in (cursor.epoch, self.epoch) and cursor.epoch != self.epoch:
            return
        if self.cursor is None or cursor.revision > self.cursor.revision:
            self._move_to(cursor, version, now)
            self.is_proven = False

    def _move_to(self, cursor: Cursor, version: int, now: Milliseconds) -> None:
        epoch = self.epoch if cursor.epoch == NO_EPOCH else cursor.epoch
        self.cursor = Cursor(epoch, cursor.revision)
        self.version = version
        self._as_of = now

    def drop_cursor(self) -> None:
        """Record that the store no longer has the history since the cursor."""
        self.cursor = None

    def can_watch(self, now: Milliseconds) -> bool:
        """Whether a watch from the cursor will report each change after it.

        A store does not always reject a watch from a revision whose history it has
        lost, so the version at the cursor must be proven.
        """
        is_recent = now - self._as_of <= _CURSOR_LIFETIME_MS
        return self.cursor is not None and self.is_proven and is_recent

    def proves(self, version: int, asked_at: Milliseconds) -> bool:
        """Whether a version was certainly the newest when a query was sent.

        A store whose version is older than this node's has lost versions, perhaps also
        some that this node never received. A store that was just restored may have lost
        some as well.

        Parameters
        ----------
        version : int
            Version in force on this node.
        asked_at : float
            Time of the query in milliseconds.
        """
        return self.version == version and asked_at >= self._reliable_from
