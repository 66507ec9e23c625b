"""Asks other nodes how old their knowledge is, and answers them."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from fuchsiagap.core.freshness.sources import Source, Sources
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.messages import StalenessQuery, StalenessReply

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.config_sync import ConfigSync
    from fuchsiagap_node.core.mesh.sending import SendingLink

# Milliseconds between two looks at how old the own knowledge is.
REFRESH_INTERVAL_MS = 250.0
# Shares of the bound of revocations: ages from which others are asked, and from which
# more of them are.
_QUERY_AT_SHARE = 0.15
_URGENT_AT_SHARE = 0.4
# Share of the bound by which keys are refused before its end: what a clock may be off.
_CLOCK_MARGIN_SHARE = 0.05
# Milliseconds for which an answer is waited for; one that comes later says as much as
# it is old, and takes no place in memory until then.
_QUERY_TIMEOUT_MS = 2_000.0


class StalenessExchange:
    """Keeps the age of a node's knowledge low, where revocations are bound.

    Parameters
    ----------
    config : ConfigSync
        The configuration in force, and its age.
    links : callable
        Returns the links to other nodes.
    revocation_bound : float or None
        Bound of revocations in milliseconds; None for none.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Chooses whom to ask.
    """

    def __init__(
        self,
        config: ConfigSync,
        links: Callable[[], Iterable[SendingLink]],
        revocation_bound: Milliseconds | None,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._config = config
        self._links = links
        self._revocation_bound = revocation_bound
        self._clock = clock
        self._query_ids = count(1)
        self._pending_queries: dict[int, Milliseconds] = {}
        self._sources = Sources(rng)

    def is_too_stale(self) -> bool:
        """Whether a key that this node knows may have been taken away too long ago."""
        if self._revocation_bound is None:
            return False
        return self._config.active.staleness > self._revocation_bound * (
            1.0 - _CLOCK_MARGIN_SHARE
        )

    def refresh(self) -> None:
        """Ask others if the own knowledge is getting old."""
        if self._revocation_bound is None:
            return
        now = self._clock.now()
        age = self._config.active.staleness
        if age < self._revocation_bound * _QUERY_AT_SHARE:
            return
        self._pending_queries = {
            query_id: at
            for query_id, at in self._pending_queries.items()
            if now - at < _QUERY_TIMEOUT_MS
        }
        links = {link.member.node: link for link in self._links() if link.is_heard()}
        sources = [
            Source(name, link.update_source is UpdateSource.STORE, link.target.local)
            for name, link in links.items()
        ]
        is_urgent = age > self._revocation_bound * _URGENT_AT_SHARE
        for name in self._sources.choose(sources, now, is_urgent):
            self._send_query(links[name])

    def query_new_link(self, link: SendingLink) -> None:
        """Ask a node that has just been linked, if the own knowledge is old."""
        if self._revocation_bound is None or not self._config.active.version:
            return
        if self._config.active.staleness > self._revocation_bound * _URGENT_AT_SHARE:
            self._send_query(link)

    def _send_query(self, link: SendingLink) -> None:
        query_id = next(self._query_ids)
        self._pending_queries[query_id] = self._clock.now()
        link.post(StalenessQuery(query_id))

    def reply(self, query: StalenessQuery) -> StalenessReply | None:
        """Return the answer to another node; None before anything is known."""
        age = self._config.active.staleness
        if age == float("inf"):
            return None
        return StalenessReply(
            query.query_id, self._config.active.version, max(age, 0.0)
        )

    def handle_reply(self, reply: StalenessReply, node: str) -> None:
        """Take in what another node has answered.

        Its age counts from this node's question: what time the question, the answer and
        either host took on the way makes the knowledge older here, never younger.
        """
        asked_at = self._pending_queries.pop(reply.query_id, None)
        if asked_at is None:
            return
        now = self._clock.now()
        as_of = asked_at - reply.age
        self._sources.record(node, now - as_of, now)
        self._config.active.confirm(reply.version, as_of)
