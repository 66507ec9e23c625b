"""Authentication and quotas of workspaces at one node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap.core.workspaces.grants import SWEEP_MS
from fuchsiagap_node.core.mesh.api_key_authenticator import ApiKeyAuthenticator
from fuchsiagap_node.core.mesh.quota_owners import QuotaOwners
from fuchsiagap_node.core.mesh.quotas import PENDING_CHECK_MS as QUOTA_CHECK_MS
from fuchsiagap_node.core.mesh.quotas import Quotas
from fuchsiagap_node.core.mesh.staleness_exchange import (
    REFRESH_INTERVAL_MS as STALENESS_REFRESH_MS,
)
from fuchsiagap_node.core.mesh.staleness_exchange import StalenessExchange

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.routes.model import RouteConfig
    from fuchsiagap_node.core.mesh.config_sync import ConfigSync
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.inbound_links import InboundLinks
    from fuchsiagap_node.core.mesh.messages import TokenRequest
    from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink
    from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.ticker import Ticker


class Workspaces:
    """Sets up API key authentication, staleness queries and quotas of a node.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    own : Member
        This node.
    config : ConfigSync
        Source of the active configuration.
    links : callable
        Returns the links to other nodes.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Chooses which other nodes to query.
    event_log : EventLog
        Receives events and counts.

    Attributes
    ----------
    staleness_exchange : StalenessExchange
        Queries other nodes, and answers them, about the staleness of the keys.
    quotas : Quotas
        Quotas of the workspaces.
    authenticator : ApiKeyAuthenticator
        Finds the workspace of a request.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        own: Member,
        config: ConfigSync,
        links: Callable[[], OutboundLinks],
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        self._links = links
        self.staleness_exchange = StalenessExchange(
            config, links, cfg.bounds.revocation, clock, rng
        )
        owners = QuotaOwners(
            own, links, lambda: config.update_source is UpdateSource.STORE, clock
        )
        self.quotas = Quotas(owners, self._post, cfg.first_start, clock, event_log)
        self.authenticator = ApiKeyAuthenticator(
            self.staleness_exchange.is_too_stale,
            lambda: config.active.staleness,
            clock,
            event_log,
        )

    def _post(self, node: str, message: TokenRequest) -> bool:
        link = self._links().ensure_link(node)
        if link is None or not link.is_open():
            return False
        link.post(message)
        return True

    def adopt(self, config: RouteConfig) -> None:
        """Apply the workspaces of a new configuration."""
        self.quotas.adopt(config.workspaces or ())

    def prepare_link(self, link: OutboundLink) -> None:
        """Register the handlers of replies that arrive on an outbound link."""
        link.on_staleness = self.staleness_exchange.handle_reply
        link.on_token_grant = self.quotas.handle_grant
        link.on_open = self.staleness_exchange.query_new_link

    def prepare_inbound(self, inbound: InboundLinks) -> None:
        """Register the handlers of queries that arrive on inbound links."""
        inbound.answer_staleness = self.staleness_exchange.reply
        inbound.grant_tokens = self.quotas.grant_tokens

    def schedule(self, ticker: Ticker) -> None:
        """Schedule the periodic tasks."""
        ticker.every(STALENESS_REFRESH_MS, self.staleness_exchange.refresh)
        ticker.every(QUOTA_CHECK_MS, self.quotas.process_pending)
        ticker.every(SWEEP_MS, self.quotas.evict_idle)
