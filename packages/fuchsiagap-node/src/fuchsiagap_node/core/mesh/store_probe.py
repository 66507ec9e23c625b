"""Liveness probes of the store, at a tenth of the cost of other requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_node.core.mesh.store import StoreFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.freshness.store_timeouts import StoreTimeouts
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.hedging import FirstResponse
    from fuchsiagap_node.core.mesh.store import PositionResult, ProbeResult, Store


class StoreProbe:
    """Sends the probes of one node.

    Parameters
    ----------
    store : Store
        The platform's store.
    node : str
        This node, whose entry `find_entry` reads.
    timeouts : StoreTimeouts
        Timeouts of requests to the store; may be replaced.
    event_log : EventLog
        Counts the calls.
    """

    def __init__(
        self, store: Store, node: str, timeouts: StoreTimeouts, event_log: EventLog
    ) -> None:
        self._store = store
        self._node = node
        self.timeouts = timeouts
        self._event_log = event_log

    async def read_position(
        self,
        cause: str,
        on_unresponsive: Callable[[], None],
        backoff_factor: Callable[[], float],
        linearizable: bool = False,
    ) -> FirstResponse[PositionResult]:
        """Read the position of the store, hedged; return the first answer.

        Parameters
        ----------
        cause : str
            Reason for the probe; labels the counter of calls.
        on_unresponsive : callable
            Called when the second request is not answered either.
        backoff_factor : callable
            Returns the factor by which the interval between requests grows.
        linearizable : bool, optional
            Whether to read the newest position, at the full cost of a call.
        """
        kind = "probe-linearizable" if linearizable else "probe"

        async def send_once() -> PositionResult:
            self._event_log.count_store_call(kind, cause)
            return await self._store.read_position(linearizable)

        interval = self.timeouts.hedge_delay
        return await hedge(send_once, interval, on_unresponsive, backoff_factor)

    async def find_entry(self, cause: str) -> bool:
        """Probe until the store answers; return whether this node's entry exists."""
        n_failed = 0
        while True:
            probed = (await self._probe_entry(cause)).result
            if not isinstance(probed, StoreFailed):
                return probed.is_listed
            n_failed += 1
            await trio.sleep(self.timeouts.backoff(n_failed) / MS_PER_S)

    async def _probe_entry(self, cause: str) -> FirstResponse[ProbeResult]:
        async def send_once() -> ProbeResult:
            self._event_log.count_store_call("probe", cause)
            return await self._store.probe(self._node)

        interval = self.timeouts.hedge_delay
        return await hedge(send_once, interval, _ignore, _doubling_factor)


def _doubling_factor() -> float:
    """Return the factor that doubles the interval between requests."""
    return 2.0


def _ignore() -> None:
    """Do nothing."""
