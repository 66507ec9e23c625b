"""Settings between nodes: announcements of new versions, and periodic comparison.

An announcement carries versions only. A node fetches a missing text from the first
node that announces it, so each text is sent to each node about once. The comparison
with a random node finds versions whose announcement or text was lost.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds, sleep_ms
from fuchsiagap.core.settings.book import Adopted, Invalid
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter, Gauge
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap_node.core.gossip import neighbours
from fuchsiagap_node.core.wire.messages_settings import (
    SettingsCompare,
    SettingsNews,
    SettingsQuery,
    SettingsTexts,
    SettingsVector,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.settings.book import VersionVector
    from fuchsiagap.core.settings.model import TeamText
    from fuchsiagap_node.core.state import NodeState

_MAX_SHOWN_FAULT_CHARS = 300
COMPARE_INTERVAL: Milliseconds = 1_000.0
# As a fraction of the interval.
COMPARE_JITTER = 0.2
FLUSH_DELAY: Milliseconds = 5.0
PEER_TIMEOUT: Milliseconds = 1_000.0
MAX_REPLY_CHARS = 1_000_000


def register(state: NodeState) -> None:
    """Register the handlers of the messages about settings."""

    async def on_query(_peer: str, msg: SettingsQuery) -> SettingsTexts:
        return _find_newer_texts(state, msg)

    async def on_compare(_peer: str, msg: SettingsCompare) -> SettingsVector:
        book = state.book
        same = msg.fingerprint == book.fingerprint
        versions = () if same else book.vector()
        return SettingsVector(same, versions, book.sync_status.complete)

    async def on_announcement(peer: str, msg: SettingsNews) -> None:
        member = state.membership.get(peer)
        if member is not None:
            await _fetch(state, member.address, peer, msg.versions)

    state.handlers.on_request(SettingsQuery, on_query)
    state.handlers.on_request(SettingsCompare, on_compare)
    state.handlers.on_notification(SettingsNews, on_announcement)


def adopt_texts(state: NodeState, texts: Iterable[TeamText], source: str) -> None:
    """Offer texts to the settings book, and queue announcements of those adopted.

    Parameters
    ----------
    state : NodeState
        State of this node.
    texts : iterable of TeamText
        Received texts.
    source : str
        Name of the node that sent them, or ``"platform"``.
    """
    for text in texts:
        before = state.book.text(text.team)
        n_invalid = state.book.counts.invalid
        outcome = state.book.adopt(text)
        _check_invariants(state, before, text)
        if isinstance(outcome, Adopted):
            _record_adopted(state, outcome, source)
        elif isinstance(outcome, Invalid) and state.book.counts.invalid > n_invalid:
            _record_invalid(state, outcome, source)


def _check_invariants(
    state: NodeState, before: TeamText | None, offered: TeamText
) -> None:
    """Report a violation if a version went back or has two different texts."""
    after = state.book.text(offered.team)
    if before is None:
        return
    if after is None or after.version < before.version:
        now = 0 if after is None else after.version
        detail = f"settings of {offered.team}: version {now} after {before.version}"
        state.telemetry.report_violation(Invariant.VERSION_WENT_BACK, detail)
    elif offered.version == before.version and offered != before:
        detail = f"settings of {offered.team}: two texts of version {before.version}"
        state.telemetry.report_violation(Invariant.VERSION_WENT_BACK, detail)


async def announce_adopted(state: NodeState) -> None:
    """Announce adopted versions to the gossip targets until cancelled."""
    sync_status = state.book.sync_status
    async with trio.open_nursery() as nursery:
        while True:
            while not sync_status.unannounced:
                await sync_status.changed.wait()
            await sleep_ms(FLUSH_DELAY)
            announcement = SettingsNews(tuple(sorted(sync_status.unannounced.items())))
            sync_status.unannounced.clear()
            for member in neighbours.gossip_targets(state.membership):
                nursery.start_soon(
                    _send_announcement, state, member.address, announcement
                )


async def compare_periodically(state: NodeState) -> None:
    """Compare versions with a random node at intervals until cancelled."""
    async with trio.open_nursery() as nursery:
        while True:
            jitter = state.rng.uniform(1 - COMPARE_JITTER, 1 + COMPARE_JITTER)
            await sleep_ms(COMPARE_INTERVAL * jitter)
            found = random_contact(state)
            if found is not None:
                nursery.start_soon(compare, state, *found)


async def compare(state: NodeState, address: str, source: str) -> bool:
    """Compare versions with a node and exchange the differences.

    Parameters
    ----------
    state : NodeState
        State of this node.
    address : str
        ``IP:PORT`` of the other node.
    source : str
        Name of the other node, for the events.

    Returns
    -------
    bool
        Whether the other node replied and the exchange ended in time.
    """
    book = state.book
    with trio.move_on_after(PEER_TIMEOUT / MS_PER_S):
        reply = await state.peers.ask(address, SettingsCompare(book.fingerprint))
        if not isinstance(reply, SettingsVector):
            return False
        if not reply.same:
            await _exchange_differences(state, address, source, reply.versions)
        if reply.complete and not _find_missing(state, reply.versions):
            mark_complete(state)
        return True
    return False


def mark_complete(state: NodeState) -> None:
    """Record that this node has all settings that the platform held at some time."""
    sync_status = state.book.sync_status
    if not sync_status.complete:
        sync_status.complete = True
        sync_status.notify()


async def _exchange_differences(
    state: NodeState, address: str, source: str, remote_versions: VersionVector
) -> None:
    known = dict(remote_versions)
    missing = tuple(
        (team, version)
        for team, version in state.book.vector()
        if version > known.get(team, 0)
    )
    if missing:
        await state.peers.notify(address, SettingsNews(missing))
    await _fetch(state, address, source, remote_versions)


async def _fetch(
    state: NodeState, address: str, source: str, versions: VersionVector
) -> None:
    """Fetch the texts of those versions that are newer than any seen.

    Waits while they are being fetched from another node; if that fails, fetches them
    from this one.
    """
    sync_status = state.book.sync_status
    with trio.move_on_after(2 * PEER_TIMEOUT / MS_PER_S):
        while missing := _find_missing(state, versions):
            unclaimed = {
                team: version
                for team, version in missing.items()
                if version > sync_status.fetching.get(team, 0)
            }
            if unclaimed:
                await _fetch_unclaimed(state, address, source, unclaimed)
                return
            await sync_status.changed.wait()


def _find_missing(state: NodeState, versions: VersionVector) -> dict[str, int]:
    seen = dict(state.book.seen())
    return {team: v for team, v in versions if v > seen.get(team, 0)}


async def _fetch_unclaimed(
    state: NodeState, address: str, source: str, wanted: dict[str, int]
) -> None:
    sync_status = state.book.sync_status
    seen = dict(state.book.seen())
    sync_status.fetching.update(wanted)
    try:
        with trio.move_on_after(PEER_TIMEOUT / MS_PER_S):
            await _query(state, address, source, {t: seen.get(t, 0) for t in wanted})
    finally:
        for team, version in wanted.items():
            if sync_status.fetching.get(team) == version:
                del sync_status.fetching[team]
        sync_status.notify()


async def _query(
    state: NodeState, address: str, source: str, known: dict[str, int]
) -> None:
    more = True
    while more and known:
        query = SettingsQuery(tuple(sorted(known.items())))
        reply = await state.peers.ask(address, query)
        if not isinstance(reply, SettingsTexts) or not reply.texts:
            return
        adopt_texts(state, reply.texts, source)
        for text in reply.texts:
            known.pop(text.team, None)
        more = reply.more


def _find_newer_texts(state: NodeState, msg: SettingsQuery) -> SettingsTexts:
    found: list[TeamText] = []
    n_chars = 0
    for team, version in msg.known:
        text = state.book.text(team)
        if text is None or text.version <= version:
            continue
        n_chars += len(text.text)
        if found and n_chars > MAX_REPLY_CHARS:
            return SettingsTexts(tuple(found), more=True)
        found.append(text)
    return SettingsTexts(tuple(found), more=False)


async def _send_announcement(
    state: NodeState, address: str, announcement: SettingsNews
) -> None:
    with trio.move_on_after(PEER_TIMEOUT / MS_PER_S):
        await state.peers.notify(address, announcement)


def random_contact(state: NodeState) -> tuple[str, str] | None:
    """Return the address and name of a random node, else of a configured peer.

    The name of a configured peer is not known; its address takes its place.
    """
    membership = state.membership
    own_name = membership.self_member.node
    others = [m for m in membership.members() if m.node != own_name and not m.gone]
    if others:
        member = state.rng.choice(others)
        return member.address, member.node
    initial_peers = [a for a in state.cfg.peers.first if a != state.cfg.peer_address]
    if not initial_peers:
        return None
    address = state.rng.choice(initial_peers)
    return address, address


def _record_adopted(state: NodeState, adopted: Adopted, source: str) -> None:
    telemetry = state.telemetry
    telemetry.ring.record(
        EventKind.SETTINGS_ADOPTED,
        team=adopted.team,
        version=adopted.version,
        source=source,
    )
    telemetry.metrics.count(Counter.SETTINGS_ADOPTED, adopted.team)
    telemetry.metrics.gauge(Gauge.SETTINGS_VERSION, adopted.version, adopted.team)
    sync_status = state.book.sync_status
    sync_status.unannounced[adopted.team] = adopted.version
    sync_status.notify()
    settings = state.book.team(adopted.team)
    if settings is not None and adopted.team == state.cfg.backend.team:
        state.gate.adopt(replace(state.cfg.gate, weight=settings.weight))


def _record_invalid(state: NodeState, invalid: Invalid, source: str) -> None:
    state.telemetry.ring.record(
        EventKind.SETTINGS_REFUSED,
        team=invalid.team,
        version=invalid.version,
        source=source,
        faults=len(invalid.faults.faults),
        first=str(invalid.faults.faults[0])[:_MAX_SHOWN_FAULT_CHARS],
    )
