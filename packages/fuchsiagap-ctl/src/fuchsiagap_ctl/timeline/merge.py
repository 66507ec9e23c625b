"""Merging of the events of many processes into one total order."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.telemetry.events import Event


@dataclass(frozen=True, slots=True)
class RingContents:
    """Events read from the event ring of one process.

    Parameters
    ----------
    process : str
        Name of the process.
    events : tuple of Event
        Events in the order of their stamps.
    overwritten : bool
        Whether some of the requested events had been overwritten by later ones.
    truncated : bool
        Whether later events were not read.
    """

    process: str
    events: tuple[Event, ...]
    overwritten: bool = False
    truncated: bool = False


@dataclass(frozen=True, slots=True)
class MissingNode:
    """A node whose events are not in the timeline.

    Parameters
    ----------
    name, address : str
        Name and admin address of the node.
    detail : str
        Why its events could not be fetched.
    """

    name: str
    address: str
    detail: str


@dataclass(frozen=True, slots=True)
class Timeline:
    """Events of many processes in an order that puts causes before effects.

    Parameters
    ----------
    events : tuple of Event
        Events ordered by stamp, then by process.
    processes : tuple of str
        Names of the processes that answered, sorted.
    overwritten : tuple of str
        Names of those processes whose older events had been overwritten.
    missing : tuple of MissingNode
        Nodes whose events could not be fetched, sorted by name.
    truncated : tuple of str
        Names of those processes whose later events were not read.
    """

    events: tuple[Event, ...]
    processes: tuple[str, ...]
    overwritten: tuple[str, ...] = ()
    missing: tuple[MissingNode, ...] = ()
    truncated: tuple[str, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether no node is missing, and no events were overwritten or not read."""
        return not (self.overwritten or self.missing or self.truncated)


def merge(
    rings: Iterable[RingContents], missing: Iterable[MissingNode] = ()
) -> Timeline:
    """Merge events by the stamps of the hybrid logical clock.

    Parameters
    ----------
    rings : iterable of RingContents
        Events of each process that answered.
    missing : iterable of MissingNode
        Nodes whose events could not be fetched.

    Returns
    -------
    Timeline
        The merged events.
    """
    by_name = sorted(rings, key=attrgetter("process"))
    order = attrgetter("stamp", "process")
    return Timeline(
        events=tuple(heapq.merge(*(ring.events for ring in by_name), key=order)),
        processes=tuple(ring.process for ring in by_name),
        overwritten=tuple(ring.process for ring in by_name if ring.overwritten),
        missing=tuple(sorted(missing, key=attrgetter("name"))),
        truncated=tuple(ring.process for ring in by_name if ring.truncated),
    )
