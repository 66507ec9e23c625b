"""What a node knows of the store: epoch, place in its history, newest version.

A store that is restored from a copy begins a new epoch: it lacks what was written after
the copy, and gives the same revisions out again. So a revision is compared within one
epoch only, and versions of the configuration, which the operators count, decide which
of two is newer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Epoch of an answer that does not tell one.
NO_EPOCH = -1
# Milliseconds for which a cursor is good to watch from; a store keeps its history for
# some tens of seconds, and less at times.
_GOOD_CURSOR_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Cursor:
    """A place in the history of the store.

    Parameters
    ----------
    epoch : int
        Epoch of the store; `NO_EPOCH` if it told none.
    revision : int
        Changes before this place, as the store counts in that epoch.
    """

    epoch: int
    revision: int


class StoreView:
    """What the answers of the store have shown.

    Parameters
    ----------
    settle : float
        Milliseconds after a return for which the store may lack versions that it had
        acknowledged before, until they are written again.

    Attributes
    ----------
    epoch : int
        Epoch of the last answer that told one.
    cursor : Cursor or None
        Where to watch from; None where the configuration has to be read.
    version : int
        Newest version that the store held at the cursor.
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
        """Take in the epoch of an answer; return whether the cursor is void by it."""
        if epoch in (NO_EPOCH, self.epoch):
            return False
        cursor_epoch = NO_EPOCH if self.cursor is None else self.cursor.epoch
        if {self.epoch, self._peer_epoch, cursor_epoch} - {NO_EPOCH, epoch}:
            self._reliable_from = now + self._settle
        self.epoch = epoch
        if cursor_epoch in (NO_EPOCH, epoch):
            return False
        self.cursor = None
        return True

    def note_peer_epoch(self, epoch: int) -> None:
        """Take in an epoch that another node knows, before the store has told one."""
        if self.epoch == NO_EPOCH and epoch != NO_EPOCH:
            self._peer_epoch = epoch

    def note_read(self, cursor: Cursor, version: int, now: Milliseconds) -> None:
        """Take in that a version was the newest when the store was asked."""
        self.note_epoch(cursor.epoch, now)
        if self.cursor is not None and cursor.revision < self.cursor.revision:
            # A return that the store does not tell of.
            self._reliable_from = now + self._settle
        self._move_to(cursor, version, now)

    def note_older_read(self, cursor: Cursor, version: int, now: Milliseconds) -> None:
        """Take in a version that may have been replaced since."""
        self.note_epoch(cursor.epoch, now)
        if self.cursor is None:
            self._move_to(cursor, version, now)

    def note_watch(
        self, cursor: Cursor, version: int | None, now: Milliseconds
    ) -> bool:
        """Take in what a watch from the cursor gave; return whether it counts.

        Parameters
        ----------
        cursor : Cursor
            Where to go on.
        version : int or None
            Newest version among the changes; None if there was none.
        now : float
            Current time in milliseconds.
        """
        if self.note_epoch(cursor.epoch, now) or self.cursor is None:
            return False
        if cursor.revision < self.cursor.revision:
            self.cursor = None
            return False
        self._move_to(cursor, self.version if version is None else version, now)
        return True

    def note_version(self, cursor: Cursor, version: int, now: Milliseconds) -> None:
        """Take in where another node says that a version stands in the history."""
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
        """Take in that the history since the cursor is gone."""
        self.cursor = None

    def can_watch(self, now: Milliseconds) -> bool:
        """Whether the store is likely to have the history since the cursor."""
        return self.cursor is not None and now - self._as_of <= _GOOD_CURSOR_MS

    def proves(self, version: int, asked_at: Milliseconds) -> bool:
        """Whether a version was the newest when a question was asked.

        A store that holds an older one than this node has lost it, and may have lost
        newer ones besides. So may one that has just come back.
        """
        return self.version == version and asked_at >= self._reliable_from
