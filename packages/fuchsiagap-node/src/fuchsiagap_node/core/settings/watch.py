"""Settings from the platform: a few nodes of each data centre hold the watch.

Which ones follows from the members that are alive, so nobody is elected, and two that
both think it is them do no harm. One that cannot reach the platform asks random nodes
to watch in its place.
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

SOURCE = "platform"
N_RELAYS = 2
ROLE_INTERVAL: Milliseconds = 250.0
RETRY_LEAST: Milliseconds = 250.0
RETRY_MOST: Milliseconds = 2_000.0
DEPUTY_TERM: Milliseconds = 6_000.0
DEPUTY_RENEWAL: Milliseconds = 2_000.0
DEPUTY_PAUSE: Milliseconds = 500.0
DEPUTY_PATIENCE: Milliseconds = 1_000.0
BOOTSTRAP_INTERVAL: Milliseconds = 200.0
BOOTSTRAP_PATIENCE: Milliseconds = 1_500.0
BOOTSTRAP_MOST: Milliseconds = 10_000.0
OTHERS_PATIENCE = 4.0


def register(state: NodeState) -> None:
    """Register who replies to a node that cannot watch."""

    async def on_watch_for_me(_peer: str, _msg: WatchForMe) -> WatchReply:
        sync_status = state.book.sync_status
        sync_status.proxy_watch_until = state.clock.now() + DEPUTY_TERM
        sync_status.notify()
        with trio.move_on_after(DEPUTY_PATIENCE / MS_PER_S):
            while not sync_status.watching:
                await sync_status.changed.wait()
        if not sync_status.watching:
            sync_status.proxy_watch_until = float("-inf")
        return WatchReply(sync_status.watching)

    state.handlers.on_ask(WatchForMe, on_watch_for_me)


def text_of(stored: StoredObject) -> TeamText:
    """Return an object of the platform as a team's text.

    Parameters
    ----------
    stored : StoredObject
        An object below ``/settings/``. Bytes that are no UTF-8 make a text that
        validation refuses.
    """
    text = stored.value.decode("utf-8", "surrogateescape")
    deleted = stored.deleted or parse_stored_text(text).deleted
    return TeamText(team_from_path(stored.path), stored.version, text, deleted)


def take_objects(state: NodeState, objects: tuple[StoredObject, ...]) -> None:
    """Offer objects of the platform to the book."""
    texts = [text_of(stored) for stored in objects if team_from_path(stored.path)]
    spread.take(state, texts, SOURCE)


def relays(state: NodeState) -> tuple[str, ...]:
    """Return the nodes of the own data centre that hold the watch.

    The last on the ring, since the first have the digest of members to write.
    """
    own = state.membership.self_member.data_centre
    return state.membership.rings.nodes(own)[-N_RELAYS:]


async def keep_watching(state: NodeState) -> None:
    """Hold the watch whenever it is this node's turn, until cancelled.

    Not before the node has settings: when all nodes start at once, each takes itself
    for the only one at first.
    """
    while not state.book.sync_status.complete:
        await state.book.sync_status.changed.wait()
    retry = RETRY_LEAST
    while True:
        if not _is_needed(state):
            # Whoever asks for the platform's state should ask those that know it.
            state.book.sync_status.platform_up = None
            await _until_changed(state, ROLE_INTERVAL)
            continue
        worked = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_not_needed, state, nursery.cancel_scope)
            worked = await _watch(state)
            nursery.cancel_scope.cancel()
        retry = RETRY_LEAST if worked else min(2 * retry, RETRY_MOST)
        if _is_needed(state):
            await sleep_ms(retry * state.rng.uniform(0.5, 1.0))


async def keep_deputy(state: NodeState) -> None:
    """While this node ought to watch and cannot, have another do it."""
    deputy: Member | None = None
    while True:
        sync_status = state.book.sync_status
        failed = sync_status.platform_up is False and not sync_status.watching
        if not failed or state.node not in relays(state):
            deputy = None
            await sleep_ms(ROLE_INTERVAL)
            continue
        deputy = deputy or _random_deputy(state)
        if deputy is None or not await _ask_deputy(state, deputy):
            deputy = None
            await sleep_ms(DEPUTY_PAUSE)
            continue
        await sleep_ms(DEPUTY_RENEWAL)


async def bootstrap(state: NodeState) -> None:
    """Get all settings once, from other nodes or else from the platform.

    A node that knows of others asks these first. If they have none either, those that
    are to hold the watch read the platform, and the others only much later.
    """
    sync_status = state.book.sync_status
    patience = BOOTSTRAP_PATIENCE * state.rng.uniform(1.0, 2.0)
    started = state.clock.now()
    while not sync_status.complete:
        contact = spread.random_contact(state)
        if contact is not None:
            await spread.compare(state, *contact)
        if sync_status.complete:
            return
        is_relay = state.node in relays(state)
        limit = patience if is_relay else OTHERS_PATIENCE * patience
        if contact is None or state.clock.now() >= started + limit:
            await _read_all(state)
            started = state.clock.now()
            patience = min(2 * patience, BOOTSTRAP_MOST)
        await _until_changed(state, BOOTSTRAP_INTERVAL)


async def _watch(state: NodeState) -> bool:
    """Watch until it fails; return whether it worked at first."""
    cursor = await _read_all(state)
    if cursor is None:
        return False
    sync_status = state.book.sync_status
    sync_status.watching = True
    sync_status.notify()
    try:
        # A generator, which has to be closed here and now when this is cancelled.
        watch = state.platform.watch(SETTINGS_PREFIX, cursor)
        async with aclosing(cast("_Changes", watch)) as changes:
            async for change in changes:
                if isinstance(change, PlatformUnavailable):
                    _note_platform(state, is_up=False)
                    return True
                take_objects(state, (change,))
    finally:
        sync_status.watching = False
    return True


async def _read_all(state: NodeState) -> int | None:
    """Read all settings from the platform; return the highest version."""
    state.telemetry.metrics.count(Counter.PLATFORM_CALLS, "settings-list")
    found = await state.platform.list(SETTINGS_PREFIX)
    is_up = not isinstance(found, PlatformUnavailable)
    _note_platform(state, is_up)
    if isinstance(found, PlatformUnavailable):
        return None
    take_objects(state, found)
    spread.set_complete(state)
    return max((stored.version for stored in found), default=0)


def _note_platform(state: NodeState, is_up: bool) -> None:
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


def _is_needed(state: NodeState) -> bool:
    if state.clock.now() < state.book.sync_status.proxy_watch_until:
        return True
    return state.node in relays(state)


async def _cancel_when_not_needed(state: NodeState, scope: trio.CancelScope) -> None:
    while _is_needed(state):
        await sleep_ms(ROLE_INTERVAL)
    scope.cancel()


async def _until_changed(state: NodeState, limit: Milliseconds) -> None:
    with trio.move_on_after(limit / MS_PER_S):
        await state.book.sync_status.changed.wait()


def _random_deputy(state: NodeState) -> Member | None:
    watching = relays(state)
    own = state.membership.self_member.data_centre
    nodes = [n for n in state.membership.rings.nodes(own) if n not in watching]
    return state.membership.get(state.rng.choice(nodes)) if nodes else None


async def _ask_deputy(state: NodeState, deputy: Member) -> bool:
    limit = DEPUTY_PATIENCE + spread.PEER_TIMEOUT
    with trio.move_on_after(limit / MS_PER_S):
        reply = await state.peers.ask(deputy.address, WatchForMe())
        return isinstance(reply, WatchReply) and reply.watching
    return False
