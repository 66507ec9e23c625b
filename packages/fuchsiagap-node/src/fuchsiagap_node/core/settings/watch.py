"""Settings from the platform: a few nodes of each data centre watch it.

Each node derives the watchers from the live members, so there is no election, and
nodes that wrongly consider themselves watchers do no harm. A watcher that cannot reach
the platform asks random nodes to watch in its place (proxy watch).
"""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, TypeAlias, cast

import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds, sleep_ms
from fuchsiagap.core.settings.model import SETTINGS_PREFIX, TeamText, team_from_path
from fuchsiagap.core.settings.record import parse_stored_text
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter, Gauge
from fuchsiagap_node.core.ports import PlatformUnavailable, StoredObject
from fuchsiagap_node.core.settings import spread
from fuchsiagap_node.core.wire.messages_settings import WatchForMe, WatchReply

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from fuchsiagap.core.membership.member import Member
    from fuchsiagap_node.core.state import NodeState

    _Changes: TypeAlias = AsyncGenerator[StoredObject | PlatformUnavailable]

PLATFORM_SOURCE = "platform"
N_WATCHERS = 2
ROLE_INTERVAL: Milliseconds = 250.0
MIN_RETRY_DELAY: Milliseconds = 250.0
MAX_RETRY_DELAY: Milliseconds = 2_000.0
PROXY_WATCH_LEASE: Milliseconds = 6_000.0
PROXY_WATCH_RENEWAL: Milliseconds = 2_000.0
PROXY_WATCH_RETRY_DELAY: Milliseconds = 500.0
PROXY_WATCH_TIMEOUT: Milliseconds = 1_000.0
BOOTSTRAP_INTERVAL: Milliseconds = 200.0
BOOTSTRAP_PEER_TIMEOUT: Milliseconds = 1_500.0
MAX_BOOTSTRAP_PEER_TIMEOUT: Milliseconds = 10_000.0
# Multiple of the timeout after which a node that is not a watcher reads the platform.
NON_WATCHER_TIMEOUT_FACTOR = 4.0


def register(state: NodeState) -> None:
    """Register the handler of requests for a proxy watch."""

    async def on_watch_for_me(_peer: str, _msg: WatchForMe) -> WatchReply:
        sync_status = state.book.sync_status
        sync_status.proxy_watch_until = state.clock.now() + PROXY_WATCH_LEASE
        sync_status.notify()
        with trio.move_on_after(PROXY_WATCH_TIMEOUT / MS_PER_S):
            while not sync_status.watching:
                await sync_status.changed.wait()
        if not sync_status.watching:
            sync_status.proxy_watch_until = float("-inf")
        return WatchReply(sync_status.watching)

    state.handlers.on_request(WatchForMe, on_watch_for_me)


def text_of(stored: StoredObject) -> TeamText:
    """Convert an object of the platform to a team's text.

    Parameters
    ----------
    stored : StoredObject
        An object below ``/settings/``. Bytes that are not UTF-8 become a text that
        validation rejects.
    """
    text = stored.value.decode("utf-8", "surrogateescape")
    deleted = stored.deleted or parse_stored_text(text).deleted
    return TeamText(team_from_path(stored.path), stored.version, text, deleted)


def adopt_objects(state: NodeState, objects: tuple[StoredObject, ...]) -> None:
    """Offer objects of the platform to the settings book."""
    texts = [text_of(stored) for stored in objects if team_from_path(stored.path)]
    spread.adopt_texts(state, texts, PLATFORM_SOURCE)


def watcher_names(state: NodeState) -> tuple[str, ...]:
    """Return the nodes of the own data centre that watch the platform.

    These are the last on the first ring. The nodes that write the digest of members
    are chosen by another hash, so a node has both roles only by chance.
    """
    own = state.membership.self_member.data_centre
    return state.membership.rings.nodes(own)[-N_WATCHERS:]


async def run_watch(state: NodeState) -> None:
    """Watch the platform whenever this node is responsible, until cancelled.

    Starts only once the node has settings: when all nodes start at once, each considers
    itself the only one at first.
    """
    while not state.book.sync_status.complete:
        await state.book.sync_status.changed.wait()
    retry = MIN_RETRY_DELAY
    while True:
        if not _is_responsible(state):
            # Only nodes that watch know the state of the platform.
            state.book.sync_status.platform_up = None
            await _wait_for_change(state, ROLE_INTERVAL)
            continue
        has_worked = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_not_responsible, state, nursery.cancel_scope
            )
            has_worked = await _watch(state)
            nursery.cancel_scope.cancel()
        retry = MIN_RETRY_DELAY if has_worked else min(2 * retry, MAX_RETRY_DELAY)
        if _is_responsible(state):
            await sleep_ms(retry * state.rng.uniform(0.5, 1.0))


async def run_proxy_watch(state: NodeState) -> None:
    """Have another node watch while this watcher cannot, until cancelled."""
    proxy: Member | None = None
    while True:
        sync_status = state.book.sync_status
        failed = sync_status.platform_up is False and not sync_status.watching
        if not failed or state.node not in watcher_names(state):
            proxy = None
            await sleep_ms(ROLE_INTERVAL)
            continue
        proxy = proxy or _choose_proxy(state)
        if proxy is None or not await _request_proxy_watch(state, proxy):
            proxy = None
            await sleep_ms(PROXY_WATCH_RETRY_DELAY)
            continue
        await sleep_ms(PROXY_WATCH_RENEWAL)


async def bootstrap(state: NodeState) -> None:
    """Get all settings once, from other nodes or else from the platform.

    A node that knows other nodes asks these first. If they have no settings either,
    the watchers read the platform after a timeout, and the other nodes only after a
    multiple of it.
    """
    sync_status = state.book.sync_status
    peer_timeout = BOOTSTRAP_PEER_TIMEOUT * state.rng.uniform(1.0, 2.0)
    started = state.clock.now()
    while not sync_status.complete:
        contact = spread.random_contact(state)
        if contact is not None:
            await spread.compare(state, *contact)
        if sync_status.complete:
            return
        is_watcher = state.node in watcher_names(state)
        limit = (
            peer_timeout if is_watcher else NON_WATCHER_TIMEOUT_FACTOR * peer_timeout
        )
        if contact is None or state.clock.now() >= started + limit:
            await _read_all(state)
            started = state.clock.now()
            peer_timeout = min(2 * peer_timeout, MAX_BOOTSTRAP_PEER_TIMEOUT)
        await _wait_for_change(state, BOOTSTRAP_INTERVAL)


async def _watch(state: NodeState) -> bool:
    """Watch until the watch fails; return whether it worked at first."""
    cursor = await _read_all(state)
    if cursor is None:
        return False
    sync_status = state.book.sync_status
    sync_status.watching = True
    sync_status.notify()
    try:
        # An async generator must be closed explicitly when this task is cancelled.
        watch = state.platform.watch(SETTINGS_PREFIX, cursor)
        async with aclosing(cast("_Changes", watch)) as changes:
            async for change in changes:
                if isinstance(change, PlatformUnavailable):
                    _record_platform_state(state, is_up=False)
                    return True
                adopt_objects(state, (change,))
    finally:
        sync_status.watching = False
    return True


async def _read_all(state: NodeState) -> int | None:
    """Read all settings from the platform and return the highest version.

    Returns 0 if there are no settings, and None if the platform is unavailable.
    """
    state.telemetry.metrics.count(Counter.PLATFORM_CALLS, "settings-list")
    found = await state.platform.list(SETTINGS_PREFIX)
    is_up = not isinstance(found, PlatformUnavailable)
    _record_platform_state(state, is_up)
    if isinstance(found, PlatformUnavailable):
        return None
    adopt_objects(state, found)
    spread.mark_complete(state)
    return max((stored.version for stored in found), default=0)


def _record_platform_state(state: NodeState, is_up: bool) -> None:
    metrics = state.telemetry.metrics
    if not is_up:
        metrics.count(Counter.PLATFORM_FAILURES, "settings")
    sync_status = state.book.sync_status
    if sync_status.platform_up is is_up:
        return
    sync_status.platform_up = is_up
    metrics.gauge(Gauge.PLATFORM_UP, float(is_up))
    kind = EventKind.PLATFORM_UP if is_up else EventKind.PLATFORM_DOWN
    state.telemetry.ring.record(kind)


def _is_responsible(state: NodeState) -> bool:
    if state.clock.now() < state.book.sync_status.proxy_watch_until:
        return True
    return state.node in watcher_names(state)


async def _cancel_when_not_responsible(
    state: NodeState, scope: trio.CancelScope
) -> None:
    while _is_responsible(state):
        await sleep_ms(ROLE_INTERVAL)
    scope.cancel()


async def _wait_for_change(state: NodeState, limit: Milliseconds) -> None:
    with trio.move_on_after(limit / MS_PER_S):
        await state.book.sync_status.changed.wait()


def _choose_proxy(state: NodeState) -> Member | None:
    watching = watcher_names(state)
    own = state.membership.self_member.data_centre
    nodes = [n for n in state.membership.rings.nodes(own) if n not in watching]
    return state.membership.get(state.rng.choice(nodes)) if nodes else None


async def _request_proxy_watch(state: NodeState, proxy: Member) -> bool:
    limit = PROXY_WATCH_TIMEOUT + spread.PEER_TIMEOUT
    with trio.move_on_after(limit / MS_PER_S):
        reply = await state.peers.ask(proxy.address, WatchForMe())
        return isinstance(reply, WatchReply) and reply.watching
    return False
