"""Merge the events of many processes into one order."""

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
    """What one process sent.

    Parameters
    ----------
    process : str
        Name of the process.
    events : tuple of Event
        In the order of their stamps.
    overwritten : bool
        Whether older events that were asked for had been overwritten.
    """

    process: str
    events: tuple[Event, ...]
    overwritten: bool = False


@dataclass(frozen=True, slots=True)
class MissingNode:
    """A node whose events are not in the time line.

    Parameters
    ----------
    name, address : str
        The node, and its admin address.
    detail : str
        Why it did not answer.
    """

    name: str
    address: str
    detail: str


@dataclass(frozen=True, slots=True)
class Timeline:
    """Events of many processes, causes before their effects.

    Parameters
    ----------
    events : tuple of Event
        Ordered by stamp, then by process.
    processes : tuple of str
        All processes that answered, in the order of their names.
    overwritten : tuple of str
        Those of them whose older events had been overwritten.
    missing : tuple of MissingNode
        Nodes that did not answer.
    """

    events: tuple[Event, ...]
    processes: tuple[str, ...]
    overwritten: tuple[str, ...] = ()
    missing: tuple[MissingNode, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether nothing is known to be missing."""
        return not self.overwritten and not self.missing


def merge(
    rings: Iterable[RingContents], missing: Iterable[MissingNode] = ()
) -> Timeline:
    """Merge rings by the hybrid logical clock.

    Parameters
    ----------
    rings : iterable of RingContents
        One for each process that answered.
    missing : iterable of MissingNode
        The others.

    Returns
    -------
    Timeline
        One order of all events.
    """
    by_name = sorted(rings, key=attrgetter("process"))
    order = attrgetter("stamp", "process")
    return Timeline(
        events=tuple(heapq.merge(*(ring.events for ring in by_name), key=order)),
        processes=tuple(ring.process for ring in by_name),
        overwritten=tuple(ring.process for ring in by_name if ring.overwritten),
        missing=tuple(sorted(missing, key=attrgetter("name"))),
    )
