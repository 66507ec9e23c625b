"""Keeps the active configuration up to date from the store and from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_timeouts import timeouts_within
from fuchsiagap.core.freshness.store_view import NO_EPOCH, Cursor, StoreView
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.active_config import ActiveConfig
from fuchsiagap_node.core.mesh.config_requests import ConfigRequests, StoreRequest
from fuchsiagap_node.core.mesh.peer_config_fetcher import PeerConfigFetcher
from fuchsiagap_node.core.mesh.settings import Bounds
from fuchsiagap_node.core.mesh.store import (
    ConfigUpdate,
    HistoryCompacted,
    StoreFailed,
    StorePosition,
)
from fuchsiagap_node.core.mesh.watcher_role import WatcherRole

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import EncodedConfig
    from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink
    from fuchsiagap_node.core.mesh.store import Store, StoredConfig

# Milliseconds between two calls while the store fails, on nodes of lower watcher rank:
# the step per failure, and the maximum. While another node of its data centre watches,
# a node of any rank waits for the maximum.
_OTHERS_RETRY_MS = 4_000.0
_MAX_RETRY_MS = 8_000.0
# Share of the revocation bound that must pass after the store was restored from a
# backup before its answers confirm a version: until then, versions lost in the restore
# may not have been written again.
_SETTLE_SHARE = 0.3
# Staleness from which a node sends requests to the store by itself, as a share of the
# revocation bound. Drawn from this range, so that nodes that lose contact at the same
# time do not all send requests at the same time.
_ASK_STORE_AT_SHARES = (0.45, 0.6)
# Milliseconds between two evaluations of whether this node watches.
REFRESH_MS = 250.0
_DEFAULT_BOUNDS = Bounds()


class ConfigSync:
    """Follows the configuration in the store, directly or through other nodes.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Receives the events.
    apply_config : callable
        Called with each configuration that becomes active.
    own : Member
        This node.
    links : callable
        Returns the links to other nodes.
    rng : random.Random
        Chooses which node is asked, and spreads the times of requests.
    first_start : bool
        Whether the whole system starts for the first time.
    bounds : Bounds
        Times within which changes and revocations must take effect.

    Attributes
    ----------
    active : ActiveConfig
        The active configuration.
    changed : callable
        Called when `update_source` or `epoch` has changed.
    on_store_restored : callable
        Called when the store was restored from a backup, and may have lost what this
        node wrote.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        event_log: EventLog,
        apply_config: Callable[[StoredConfig], None],
        own: Member,
        links: Callable[[], Iterable[OutboundLink]],
        rng: random.Random,
        first_start: bool = False,
        bounds: Bounds = _DEFAULT_BOUNDS,
    ) -> None:
        self._store = store
        self._revocation_bound = bounds.revocation
        self._clock = clock
        self._event_log = event_log
        self._rng = rng
        self._view = StoreView((bounds.revocation or 0.0) * _SETTLE_SHARE)
        self._role = WatcherRole(own, links, first_start, clock)
        self._role.changed = self._notify_changed
        self._requests = ConfigRequests(
            store,
            own.node,
            self._view,
            self._role,
            timeouts_within(bounds.change),
            bounds.revocation,
            clock,
            rng,
            event_log,
        )
        self._requests.on_unresponsive = self._mark_store_unresponsive
        self._requests.on_response = self._mark_store_available
        self._requests.on_epoch = self._announce_epoch
        self._requests.on_confirmed = self._record_confirmation
        self._requests.is_urgent = self._is_too_stale
        self.active = ActiveConfig(clock, event_log, apply_config)
        self._peer_fetcher = PeerConfigFetcher(
            self.active,
            links,
            lambda: self.update_source is UpdateSource.STORE,
            rng,
            event_log,
        )
        # Highest epoch of the store that any node has reported.
        self._highest_epoch = NO_EPOCH
        self._requested_at: Milliseconds | None = None
        self._change_bound = bounds.change
        self._confirmed_at: Milliseconds | None = None
        self._is_reported_unconfirmed = False
        self._ask_store_at_share = rng.uniform(*_ASK_STORE_AT_SHARES)
        self.changed: Callable[[], None] = _ignore
        self.on_store_restored: Callable[[], None] = _ignore

    @property
    def update_source(self) -> UpdateSource:
        """How this node learns of changes."""
        return self._role.update_source

    @property
    def epoch(self) -> int:
        """Epoch in the last answer of the store to this node; `NO_EPOCH` before."""
        return self._view.epoch

    @property
    def revision(self) -> int:
        """Revision of the store from which this node watches; 0 if there is none."""
        cursor = self._view.cursor
        return 0 if cursor is None else cursor.revision

    @property
    def store_age(self) -> Milliseconds:
        """Milliseconds since the store last answered, or since the start."""
        answered_at = self._requests.answered_at
        return self._clock.now() - answered_at

    @property
    def request_age(self) -> Milliseconds:
        """Milliseconds since the pending store request was sent; 0 if there is none."""
        if self._requested_at is None:
            return 0.0
        return self._clock.now() - self._requested_at

    @property
    def confirmed_age(self) -> Milliseconds | None:
        """Milliseconds since the store showed that the active version is the newest.

        None if it has not shown this to this node.
        """
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

    def adopt_bounds(self, bounds: Bounds) -> None:
        """Recompute the timeouts of store requests from `bounds.change`."""
        self._change_bound = bounds.change
        self._requests.timeouts = timeouts_within(bounds.change)

    def set_nursery(self, nursery: trio.Nursery) -> None:
        """Set the nursery that runs requests to other nodes."""
        self._peer_fetcher.nursery = nursery

    def adopt_text(self, message: EncodedConfig, source: str) -> None:
        """Adopt a configuration that another node has sent."""
        cursor = Cursor(message.epoch, message.revision)
        stored = self._store.decode_config(cursor, message.text)
        if stored is None:
            self._event_log.event("config-unreadable", source=source)
            return
        if not self.active.adopt(stored, source):
            return
        self._view.note_version(cursor, stored.config.version, self._clock.now())
        self._requests.cancel_first_read()
        if self._peer_fetcher.nursery is not None:
            self._requests.cancel_watch_soon(self._peer_fetcher.nursery)

    def handle_peer_status(self, link: OutboundLink) -> None:
        """Process the version and the store epoch in the status of another node."""
        self._view.note_peer_epoch(link.epoch)
        self._observe_epoch(link.epoch)
        self._peer_fetcher.handle_status(link)

    def _observe_epoch(self, epoch: int) -> None:
        """Record a reported epoch; a higher one means that the store was restored."""
        if epoch <= self._highest_epoch:
            return
        is_restored = self._highest_epoch != NO_EPOCH
        self._highest_epoch = epoch
        if is_restored:
            self._event_log.event("store-returned", epoch=epoch, own_epoch=self.epoch)
            self.on_store_restored()

    def refresh(self) -> None:
        """Re-evaluate whether this node is to watch the store."""
        self._role.refresh(self._is_too_stale)
        self._report_confirmed_age()

    def _report_confirmed_age(self) -> None:
        """Log when the age of the confirmation exceeds the bound, and when it ends.

        Only nodes that watch the store are reported, since others rely on them.
        """
        age = self.confirmed_age
        if age is None:
            return
        is_overdue = age > self._change_bound
        if is_overdue and self.update_source is not UpdateSource.STORE:
            return
        if is_overdue is self._is_reported_unconfirmed:
            return
        self._is_reported_unconfirmed = is_overdue
        event = "config-unconfirmed" if is_overdue else "config-confirmed"
        self._event_log.event(event, version=self.active.version, age=round(age))

    def _is_too_stale(self) -> bool:
        """Whether the configuration is so stale that this node has to ask the store."""
        if self._revocation_bound is None or not self._role.is_settled:
            return False
        return self.active.staleness > self._revocation_bound * self._ask_store_at_share

    def _notify_changed(self) -> None:
        self.changed()

    async def run(self) -> None:
        """Watch the store whenever the watcher role requires it, until cancelled."""
        n_failed = n_compacted = 0
        while True:
            if not self._requests.is_first_read or self._view.cursor is not None:
                await self._role.wait(self._is_too_stale)
            asked_at = self._requested_at = self._clock.now()
            request, result = await self._requests.fetch()
            self._requested_at = None
            match result:
                case ConfigUpdate():
                    n_failed = 0
                    if request is StoreRequest.WATCH:
                        n_compacted = 0
                    self._handle_update(request, result, asked_at)
                case StorePosition():
                    n_failed = 0
                case HistoryCompacted():
                    n_compacted += 1
                    self._drop_cursor()
                    await trio.sleep(
                        self._requests.timeouts.backoff(n_compacted) / MS_PER_S
                    )
                case StoreFailed(reason):
                    n_failed += 1
                    self._mark_store_lost(reason)
                    # A request that was hedged has already waited for the store.
                    has_waited = (
                        self._clock.now() - asked_at
                        > self._requests.timeouts.hedge_delay
                    )
                    await self._pause(n_failed, has_waited)

    def _handle_update(
        self, request: StoreRequest, update: ConfigUpdate, asked_at: Milliseconds
    ) -> None:
        """Process an answer: adopt its configuration, and confirm the active version.

        The version is confirmed only if the answer proves that it is the newest.
        """
        self._mark_store_available()
        for entry in update.malformed:
            self._event_log.log_malformed_input("entry-unreadable", entry)
        now = self._clock.now()
        self._requests.is_first_read = False
        self._role.record_store_answer()
        is_newest = self._record_cursor(request, update, now)
        self._announce_epoch()
        if update.stored is not None:
            self._report_older_version(update.stored, request)
            self.active.adopt(update.stored, "store")
        version = self.active.version
        if is_newest:
            is_watch = request is StoreRequest.WATCH
            self._record_confirmation(now if is_watch else asked_at)
        if is_newest and self._view.proves(version, asked_at):
            self.active.confirm(version, asked_at)

    def _record_confirmation(self, as_of: Milliseconds) -> None:
        """Record that the version at the cursor was the newest at a time."""
        if self._view.version == self.active.version:
            self._confirmed_at = as_of

    def _mark_store_available(self) -> None:
        """Record that the store answers."""
        self._requests.answered_at = self._clock.now()
        if self._role.is_store_lost:
            self._event_log.event("store-regained", what="configuration")
        self._role.is_store_lost = False

    def _record_cursor(
        self, request: StoreRequest, update: ConfigUpdate, now: Milliseconds
    ) -> bool:
        """Record the cursor of an answer; return whether it is the newest one."""
        version = None if update.stored is None else update.stored.config.version
        match request:
            case StoreRequest.WATCH:
                return self._view.note_watch(update.cursor, version, now)
            case StoreRequest.READ:
                self._view.note_read(update.cursor, version or 0, now)
                return True
            case StoreRequest.READ_STALE:
                self._view.note_older_read(update.cursor, version or 0, now)
        return False

    def _announce_epoch(self) -> None:
        """Notify other nodes of an epoch that this node has learnt of first."""
        before = self._highest_epoch
        self._observe_epoch(self.epoch)
        if self._highest_epoch != before:
            self.changed()

    def _report_older_version(
        self, stored: StoredConfig, request: StoreRequest
    ) -> None:
        """Log an event if the store holds an older version than the active one."""
        is_older = stored.config.version < self.active.version
        if is_older and request is not StoreRequest.READ_STALE:
            self._event_log.event(
                "store-behind",
                version=stored.config.version,
                in_force=self.active.version,
                epoch=stored.cursor.epoch,
                revision=stored.cursor.revision,
            )

    def _drop_cursor(self) -> None:
        """Drop the cursor, since the store has compacted the history after it."""
        self._event_log.event("history-gone", what="configuration", base=self.revision)
        self._view.drop_cursor()

    def _mark_store_lost(self, reason: str) -> None:
        """Record that the store does not answer, or failed a request."""
        if not self._role.is_store_lost:
            self._event_log.event("store-lost", what="configuration", cause=reason)
        self._role.is_store_lost = True
        self._role.set_update_source(UpdateSource.NONE)

    async def _pause(self, n_failed: int, has_waited: bool) -> None:
        """Wait until a store that failed is to be asked again.

        The wait is recomputed at intervals, so that a node that becomes the
        highest-ranked one of its data centre meanwhile uses the wait of that rank.
        """
        started = self._clock.now()
        spread = self._rng.uniform(0.5, 1.0)
        while True:
            wait = self._retry_after(n_failed, has_waited, spread)
            left = started + wait - self._clock.now()
            if left <= 0.0:
                return
            await trio.sleep(min(left, REFRESH_MS) / MS_PER_S)

    def _retry_after(
        self, n_failed: int, has_waited: bool, spread: float
    ) -> Milliseconds:
        """Return how long to wait after `n_failed` failures in a row.

        The highest-ranked nodes ask again at once if `has_waited`: the failed request
        took longer than the hedging delay, so no further pause is needed.
        """
        if self._role.current_rank().others_watch:
            return _MAX_RETRY_MS * spread
        if self._role.is_first():
            return 0.0 if has_waited else self._requests.timeouts.backoff(n_failed)
        return min(_OTHERS_RETRY_MS * n_failed, _MAX_RETRY_MS) * spread

    def _mark_store_unresponsive(self) -> None:
        self._mark_store_lost("silent")


def _ignore() -> None:
    """Do nothing."""
