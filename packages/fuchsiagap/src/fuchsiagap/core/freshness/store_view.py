"""A node's view of the store: epoch, position in its history, newest version.

A store that is restored from a backup begins a new epoch: it lacks what was written
after the backup, and assigns the same revisions again. So revisions are compared only
within one epoch. Across epochs, the version numbers that operators assign to
configurations decide which one is newer.
"""

from __future__ import annotations

from dataclasses import dataclass
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
    """

    def __init__(self, settle: Milliseconds = 0.0) -> None:
        self._settle = settle
        self._reliable_from: Milliseconds = float("-inf")
        self._as_of: Milliseconds = float("-inf")
        self._peer_epoch = NO_EPOCH
        self.epoch = NO_EPOCH
        self.cursor: Cursor | None = None
        self.version = 0

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

    def note_watch(
        self, cursor: Cursor, version: int | None, now: Milliseconds
    ) -> bool:
        """Record the result of a watch from the cursor; return whether it is valid.

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
        self._move_to(cursor, self.version if version is None else version, now)
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

    def _move_to(self, cursor: Cursor, version: int, now: Milliseconds) -> None:
        epoch = self.epoch if cursor.epoch == NO_EPOCH else cursor.epoch
        self.cursor = Cursor(epoch, cursor.revision)
        self.version = version
        self._as_of = now

    def drop_cursor(self) -> None:
        """Record that the store no longer has the history since the cursor."""
        self.cursor = None

    def can_watch(self, now: Milliseconds) -> bool:
        """Whether the store is likely to still have the history since the cursor."""
        return self.cursor is not None and now - self._as_of <= _CURSOR_LIFETIME_MS

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
