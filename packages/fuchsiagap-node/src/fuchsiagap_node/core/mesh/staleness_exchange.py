"""Exchanges the staleness of the configuration between nodes."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from fuchsiagap.core.freshness.source_selector import FreshnessSource, SourceSelector
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.messages import StalenessQuery, StalenessReply

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.config_sync import ConfigSync
    from fuchsiagap_node.core.mesh.outbound_link import OutboundLink

# Milliseconds between two checks of this node's own staleness.
REFRESH_INTERVAL_MS = 250.0
# Staleness from which one other node is queried, and from which a second one, chosen at
# random, is queried as well; both as shares of the revocation bound.
_QUERY_AT_SHARE = 0.15
_URGENT_AT_SHARE = 0.4
# Share of the revocation bound by which keys are refused early, to cover clock drift.
_CLOCK_MARGIN_SHARE = 0.05
# Milliseconds after which a query without a reply is dropped, to bound the memory. The
# delay of a reply adds to the staleness that it confirms, so a later one is of little
# use.
_QUERY_TIMEOUT_MS = 2_000.0


class StalenessExchange:
    """Keeps the staleness of a node low, where there is a revocation bound.

    A node without access to the store confirms its configuration by the replies of
    other nodes.

    Parameters
    ----------
    config : ConfigSync
        The active configuration and its staleness.
    links : callable
        Returns the links to other nodes.
    revocation_bound : float or None
        Milliseconds within which a revoked key must be refused; None for no bound.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Chooses the nodes to query.
    """

    def __init__(
        self,
        config: ConfigSync,
        links: Callable[[], Iterable[OutboundLink]],
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
        self._sources = SourceSelector(rng)

    def is_too_stale(self) -> bool:
        """Whether a known key may have been revoked longer ago than the bound."""
        if self._revocation_bound is None:
            return False
        return self._config.active.staleness > self._revocation_bound * (
            1.0 - _CLOCK_MARGIN_SHARE
        )

    def refresh(self) -> None:
        """Query other nodes if the configuration is getting stale."""
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
        links = {
            link.member.node: link for link in self._links() if link.is_responsive()
        }
        sources = [
            FreshnessSource(
                name, link.update_source is UpdateSource.STORE, link.target.local
            )
            for name, link in links.items()
        ]
        is_urgent = age > self._revocation_bound * _URGENT_AT_SHARE
        for name in self._sources.choose(sources, now, is_urgent):
            self._send_query(links[name])

    def query_new_link(self, link: OutboundLink) -> None:
        """Query a node that has just been linked, if the configuration is stale."""
        if self._revocation_bound is None or not self._config.active.version:
            return
        if self._config.active.staleness > self._revocation_bound * _URGENT_AT_SHARE:
            self._send_query(link)

    def _send_query(self, link: OutboundLink) -> None:
        query_id = next(self._query_ids)
        self._pending_queries[query_id] = self._clock.now()
        link.post(StalenessQuery(query_id))

    def reply(self, query: StalenessQuery) -> StalenessReply | None:
        """Return the reply to a query; None before any version is confirmed."""
        age = self._config.active.staleness
        if age == float("inf"):
            return None
        return StalenessReply(
            query.query_id, self._config.active.version, max(age, 0.0)
        )

    def handle_reply(self, reply: StalenessReply, node: str) -> None:
        """Confirm the configuration by the reply of another node.

        The staleness in the reply counts from the time of this node's query. Delays of
        the query, the reply or either host can therefore only raise the result.
        """
        asked_at = self._pending_queries.pop(reply.query_id, None)
        if asked_at is None:
            return
        now = self._clock.now()
        as_of = asked_at - reply.age
        self._sources.record(node, now - as_of, now)
        self._config.active.confirm(reply.version, as_of)
