"""Requests to the store for the configuration: reads, watches and probes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeVar

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_view import PositionCheck
from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_node.core.mesh.store import (
    ConfigUpdate,
    StoreFailed,
    StorePosition,
)
from fuchsiagap_node.core.mesh.store_probe import StoreProbe

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.freshness.store_timeouts import StoreTimeouts
    from fuchsiagap.core.freshness.store_view import Cursor, StoreView
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.hedging import FirstResponse
    from fuchsiagap_node.core.mesh.store import ConfigResult, PositionResult, Store
    from fuchsiagap_node.core.mesh.watcher_role import WatcherRole

Result = TypeVar("Result")

# Milliseconds that one watch waits. Each watch is one billed call; probes check
# meanwhile whether the store still answers, and whether the watch has missed a change.
_WATCH_MS = 25_000.0
# Factor by which the hedging delay grows per request, on nodes of lower watcher rank.
_OTHERS_BACKOFF_FACTOR = 2.0
# Length of a watch as a share of the revocation bound, where there is one.
_WATCH_SHARE = 0.15


class StoreRequest(Enum):
    """Kinds of requests to the store; the values label the counter of calls."""

    READ = "config-read"
    READ_STALE = "config-read-older"
    WATCH = "config-watch"
    PROBE = "probe"


class _Cause(Enum):
    """Reasons for requests to the store; the values label the counter of calls."""

    START = "start"
    WATCH = "watch"
    TAKE_OVER = "take-over"
    WATCH_LOST = "watch-lost"
    PROBE_AHEAD = "probe-ahead"
    PROBE_BEHIND = "probe-behind"
    HISTORY_GONE = "history-gone"


class ConfigRequests:
    """Requests the configuration from the store, and detects when it is unresponsive.

    Parameters
    ----------
    store : Store
        The platform's store.
    node : str
        This node.
    view : StoreView
        Known state of the store: epoch, cursor, version.
    role : WatcherRole
        Decides whether this node is to watch.
    timeouts : StoreTimeouts
        Timeouts of requests to the store.
    revocation_bound : float or None
        Milliseconds within which a revoked key must be refused; None for no bound.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Spreads requests that nodes would otherwise send at the same moment.
    event_log : EventLog
        Receives events and counts of calls.

    Attributes
    ----------
    is_first_read : bool
        Whether the first read is still outstanding.
    answered_at : float
        Time of the last answer of the store; initially the start of this node.
    on_unresponsive : callable
        Called when the store does not answer in time.
    on_response : callable
        Called when the store answers a probe.
    on_epoch : callable
        Called when the epoch in `view` may have changed.
    on_confirmed : callable
        Called with the time of a probe that showed that the version at the cursor of
        `view` is still the newest.
    is_urgent : callable
        Returns whether this node has to ask the store although others watch it.
    """

    def __init__(
        self,
        store: Store,
        node: str,
        view: StoreView,
        role: WatcherRole,
        timeouts: StoreTimeouts,
        revocation_bound: Milliseconds | None,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        self._store = store
        self._view = view
        self._role = role
        self._probe = StoreProbe(store, node, timeouts, event_log)
        self._revocation_bound = revocation_bound
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._read_scope: trio.CancelScope | None = None
        self._watch_scope: trio.CancelScope | None = None
        self._is_watch_lost = False
        self.is_first_read = True
        self.answered_at = clock.now()
        self.on_unresponsive: Callable[[], None] = _ignore
        self.on_response: Callable[[], None] = _ignore
        self.on_epoch: Callable[[], None] = _ignore
        self.on_confirmed: Callable[[Milliseconds], None] = _ignore_time
        self.is_urgent: Callable[[], bool] = _never

    @property
    def timeouts(self) -> StoreTimeouts:
        """Timeouts of requests to the store."""
        return self._probe.timeouts

    @timeouts.setter
    def timeouts(self, timeouts: StoreTimeouts) -> None:
        self._probe.timeouts = timeouts

    def cancel_first_read(self) -> None:
        """Cancel the first read once another node has sent the configuration."""
        if self.is_first_read and self._read_scope is not None:
            self._read_scope.cancel()

    def cancel_watch_soon(self, nursery: trio.Nursery) -> None:
        """Cancel the watch after the hedging delay, unless it ends before.

        Another node has a version that the watch has not reported, so the store may
        have dropped the watch.
        """
        if self._watch_scope is not None:
            nursery.start_soon(self._cancel_after_hedge_delay, self._watch_scope)

    async def _cancel_after_hedge_delay(self, scope: trio.CancelScope) -> None:
        await trio.sleep(self.timeouts.hedge_delay / MS_PER_S)
        scope.cancel()

    async def fetch(
        self,
    ) -> tuple[StoreRequest, ConfigResult | StorePosition | None]:
        """Watch for the next configuration, or read it if there is no proven cursor.

        A store that was unresponsive is probed first.

        Returns
        -------
        StoreRequest
            Kind of the request that was answered.
        ConfigUpdate or HistoryCompacted or StoreFailed or StorePosition or None
            Its result; None if the first read was cancelled.
        """
        store_age = self._clock.now() - self.answered_at
        # An unresponsive store may drop a watch; its recovery would then go unnoticed
        # until the watch times out. A probe detects it sooner.
        if self._role.is_store_lost or store_age > self.timeouts.probe_interval:
            response = await self._send_probe()
            if isinstance(response.result, StoreFailed):
                return StoreRequest.PROBE, response.result
            was_unresponsive = self._role.is_store_lost or response.n_dropped > 0
            self._handle_position(response.result.cursor.epoch)
            if was_unresponsive and await self._defer_to_others():
                return StoreRequest.PROBE, response.result
            self._role.record_store_answer()
        while True:
            cursor = self._view.cursor
            if cursor is None or not self._view.can_watch(self._clock.now()):
                return await self._read()
            result = await self._watch(cursor)
            if not isinstance(result, ConfigUpdate):
                self._is_watch_lost = True
                self._view.note_interruption()
            if result is not None:
                return StoreRequest.WATCH, result
            self._event_log.event(
                "watch-restarted", what="configuration", base=cursor.revision
            )

    async def _defer_to_others(self) -> bool:
        """Whether another node is to send requests to a store that answers again.

        All nodes notice the recovery at the same moment. A node that has just started
        does not know its watcher rank yet, so it waits for a random part of the
        hedging delay first.
        """
        if self.is_first_read:
            await trio.sleep(self._rng.random() * self.timeouts.hedge_delay / MS_PER_S)
        return self._role.defer_to_others()

    async def _read(self) -> tuple[StoreRequest, ConfigResult | None]:
        """Read the configuration.

        The result is None if another node sent the first configuration meanwhile. The
        read at the start may return a configuration that is some seconds old. Such a
        read costs a tenth of a linearizable one, and a newer version arrives on the
        links or with the first watch.
        """
        cause = self._read_cause()
        is_stale_read = cause is _Cause.START and self._revocation_bound is None
        request = StoreRequest.READ_STALE if is_stale_read else StoreRequest.READ

        async def send_read() -> ConfigResult:
            self._event_log.count_store_call(request.value, cause.value)
            return await self._store.read_config(linearizable=not is_stale_read)

        with trio.CancelScope() as self._read_scope:
            response = await self._hedge(send_read)
            self._is_watch_lost = False
            return request, response.result
        return request, None

    def _read_cause(self) -> _Cause:
        """Return why the configuration is to be read."""
        if self._view.cursor is not None:
            return _Cause.WATCH_LOST if self._is_watch_lost else _Cause.TAKE_OVER
        return _Cause.START if self.is_first_read else _Cause.HISTORY_GONE

    async def _hedge(
        self, send: Callable[[], Awaitable[Result]]
    ) -> FirstResponse[Result]:
        return await hedge(
            send, self.timeouts.hedge_delay, self.on_unresponsive, self._backoff_factor
        )

    async def _watch(self, cursor: Cursor) -> ConfigResult | None:
        """Wait for the next configuration as long as probes confirm the watch.

        Returns None if the watch may have missed a change, or the store was restored
        from a backup.
        """
        results: list[ConfigResult] = []
        async with trio.open_nursery() as nursery:
            self._watch_scope = nursery.cancel_scope
            nursery.start_soon(self._probe_until_lost, results, nursery.cancel_scope)
            self._event_log.count_store_call(
                StoreRequest.WATCH.value, _Cause.WATCH.value
            )
            results.append(await self._store.watch_config(cursor, self._watch_ms()))
            nursery.cancel_scope.cancel()
        self._watch_scope = None
        return results[0] if results else None

    def _watch_ms(self) -> Milliseconds:
        """Return the length of a watch in milliseconds.

        Where there is a revocation bound, a watch confirms the configuration as of its
        own beginning, so it must be short compared with the bound.
        """
        return (
            _WATCH_MS
            if self._revocation_bound is None
            else self._revocation_bound * _WATCH_SHARE
        )

    async def _probe_until_lost(
        self, results: list[ConfigResult], watch_scope: trio.CancelScope
    ) -> None:
        """Cancel the watch once the store is lost or the watch may miss changes.

        A change of the configuration ends the watches of all nodes at the same moment.
        The first wait is random, so that the nodes do not all probe at the same time
        afterwards.
        """
        wait = self.timeouts.probe_interval * self._rng.random()
        is_watch_valid = True
        while is_watch_valid:
            await trio.sleep(wait / MS_PER_S)
            wait = self.timeouts.probe_interval
            if not self._role.current_rank().should_watch and not self.is_urgent():
                continue
            asked_at = self._clock.now()
            response = await self._send_probe()
            if isinstance(response.result, StoreFailed):
                results.append(response.result)
                break
            position = response.result.cursor
            is_cursor_invalid = self._handle_position(position.epoch)
            self._role.record_store_answer()
            is_watch_valid = (
                not is_cursor_invalid
                and not response.n_dropped
                and await self._has_reported_all(position)
            )
            if is_watch_valid:
                self.on_confirmed(asked_at)
        watch_scope.cancel()

    async def _has_reported_all(self, position: Cursor) -> bool:
        """Whether the open watch has reported each change up to a position.

        If the position is older than the cursor, the store's stale reads are behind,
        and a linearizable one is needed.
        """
        linearizable = False
        if self._view.check_position(position) is PositionCheck.BEHIND:
            linearizable = True
            response = await self._send_probe(linearizable)
            if isinstance(response.result, StoreFailed):
                return False
            position = response.result.cursor
            if self._handle_position(position.epoch):
                return False
        match self._view.check_position(position):
            case PositionCheck.CURRENT:
                return True
            case PositionCheck.BEHIND:
                return False
        return await self._is_unchanged_at(position, linearizable)

    async def _is_unchanged_at(self, position: Cursor, linearizable: bool) -> bool:
        """Whether the changes up to a position do not concern the configuration."""
        request = StoreRequest.READ if linearizable else StoreRequest.READ_STALE
        cause = _Cause.PROBE_BEHIND if linearizable else _Cause.PROBE_AHEAD

        async def send_read() -> ConfigResult:
            self._event_log.count_store_call(request.value, cause.value)
            return await self._store.read_config(linearizable)

        result = (await self._hedge(send_read)).result
        if not isinstance(result, ConfigUpdate):
            return False
        if result.cursor.revision < position.revision:
            return False
        changed_at = 0 if result.stored is None else result.stored.cursor.revision
        return self._view.note_unchanged(result.cursor, changed_at)

    async def _send_probe(
        self, linearizable: bool = False
    ) -> FirstResponse[PositionResult]:
        cause = _Cause.PROBE_BEHIND.value if linearizable else "liveness"
        return await self._probe.read_position(
            cause, self.on_unresponsive, self._backoff_factor, linearizable
        )

    def _backoff_factor(self) -> float:
        """Return the factor by which the hedging delay grows per request.

        The highest-ranked nodes of a data centre keep the delay constant, since they
        detect the recovery of the store for all others.
        """
        return 1.0 if self._role.is_first() else _OTHERS_BACKOFF_FACTOR

    def _handle_position(self, epoch: int) -> bool:
        """Record the epoch of a probe; return whether it invalidates the cursor."""
        self.on_response()
        is_cursor_invalid = self._view.note_epoch(epoch, self._clock.now())
        self.on_epoch()
        return is_cursor_invalid


def _ignore() -> None:
    """Do nothing."""


def _ignore_time(at: Milliseconds) -> None:
    """Do nothing."""


def _never() -> bool:
    """Return False: no request is urgent."""
    return False
