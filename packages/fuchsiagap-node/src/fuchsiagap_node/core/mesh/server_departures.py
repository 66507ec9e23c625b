"""Exchange of the departures of backend servers between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.backend_queue.departures import Departure, DepartureRegister
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.messages import DepartureReceipt

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from fuchsiagap_node.core.mesh.crash_reports import Post
    from fuchsiagap_node.core.mesh.event_log import EventLog

# Maximum milliseconds that the acknowledgement of a departure waits for other nodes. A
# server takes no acknowledgement that arrives later than a second.
_RECEIPT_TIMEOUT_MS = 300.0
# Number of other nodes that must have a departure that the store does not have: the
# process beside the server and one other node may end at the same time.
_MIN_RECEIVERS = 2


class ServerDepartures:
    """Departures of the local backend server, and of others on behalf of their nodes.

    Parameters
    ----------
    node : str
        Name of this node.
    event_log : EventLog
        Event log.

    Attributes
    ----------
    posts : callable
        Returns the send function of each linked node, by node name.
    local_instance : callable
        Returns the identifier of the server beside this node.
    on_changed : callable
        Called with the departures beside this node after a change.
    on_restored : callable
        Called with the identifier and start time of a server beside this node whose
        departure another node remembers.
    """

    def __init__(self, node: str, event_log: EventLog) -> None:
        self._node = node
        self._event_log = event_log
        self._register = DepartureRegister()
        # Departures beside this node that were returned to it.
        self._returned: set[Departure] = set()
        # Identifier in the last announcement, the nodes that have received it, and
        # whether these are enough.
        self._announced = ""
        self._receivers: set[str] = set()
        self._received = trio.Event()
        self.posts: Callable[[], Mapping[str, Post]] = dict
        self.local_instance: Callable[[], str] = str
        self.on_changed: Callable[[tuple[Departure, ...]], None] = _ignore_all
        self.on_restored: Callable[[str, int | None], None] = _ignore

    def __len__(self) -> int:
        return len(self._register)

    def announce(
        self, instance: str, born: int | None, is_revoked: bool = False
    ) -> None:
        """Record a departure beside this node, and send it to all linked nodes.

        Parameters
        ----------
        instance : str
            Identifier of the server.
        born : int or None
            Its start time in Unix milliseconds, if known.
        is_revoked : bool, default=False
            Whether the server is used again.
        """
        departure = Departure(self._node, instance, born, is_revoked)
        if not self._register.record(departure):
            return
        self._announced, self._received = instance, trio.Event()
        self._receivers.clear()
        posts = self.posts()
        for post in posts.values():
            post(departure)
        self._event_log.event(
            "departure-recorded",
            instance=instance,
            born=born,
            revoked=is_revoked,
            sent_to=len(posts),
        )
        self.on_changed(tuple(self._register.of_node(self._node)))

    async def wait_until_received(self) -> bool:
        """Wait until enough other nodes have the last departure beside this node.

        The wait is limited, and ends at once if too few nodes are linked.

        Returns
        -------
        bool
            Whether they have it.
        """
        if not self._announced or len(self.posts()) < _MIN_RECEIVERS:
            return self._received.is_set()
        with trio.move_on_after(_RECEIPT_TIMEOUT_MS / MS_PER_S) as scope:
            await self._received.wait()
        if scope.cancelled_caught:
            self._event_log.event("departure-unconfirmed", sent_to=len(self.posts()))
        return self._received.is_set()

    def send_snapshot(self, node: str, post: Post) -> None:
        """Send a newly linked node the departures beside this node and beside it."""
        for name in (self._node, node):
            for departure in self._register.of_node(name):
                post(departure)

    def handle_departure(self, departure: Departure, sender: str, post: Post) -> None:
        """Keep a departure beside the sender, or apply one beside this node.

        Parameters
        ----------
        departure : Departure
            The departure.
        sender : str
            Node that sent it.
        post : callable
            Sends a message to the sender.
        """
        if departure.node == sender:
            self._register.record(departure)
            post(DepartureReceipt(departure.instance))
        # A server may have reported its departure to another node than its own.
        is_local = departure.instance == self.local_instance()
        if (departure.node == self._node or is_local) and not departure.is_revoked:
            self.restore(departure, sender)

    def restore(self, departure: Departure, source: str) -> None:
        """Apply a departure beside this node that another process received.

        Parameters
        ----------
        departure : Departure
            The departure.
        source : str
            Where it was kept: a node, or the store.
        """
        own = self._register.of_node(self._node)
        if departure in self._returned or departure in own:
            return
        self._returned.add(departure)
        self._event_log.event(
            "departure-restored",
            instance=departure.instance,
            born=departure.born,
            source=source,
        )
        self.on_restored(departure.instance, departure.born)

    def handle_receipt(self, receipt: DepartureReceipt, sender: str) -> None:
        """Record that another node has received a departure beside this node.

        Parameters
        ----------
        receipt : DepartureReceipt
            The receipt.
        sender : str
            Node that sent it.
        """
        if receipt.instance != self._announced:
            return
        self._receivers.add(sender)
        if len(self._receivers) >= _MIN_RECEIVERS:
            self._received.set()


def _ignore(_: str, __: int | None) -> None:
    """Ignore a departure."""


def _ignore_all(_: tuple[Departure, ...]) -> None:
    """Ignore a change of the departures."""
