"""Keys and quotas of workspaces at one node, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap.core.workspaces.grants import SWEEP_MS
from fuchsiagap_node.core.mesh.knowledge_exchange import LOOK_MS as AGE_LOOK_MS
from fuchsiagap_node.core.mesh.knowledge_exchange import KnowledgeExchange
from fuchsiagap_node.core.mesh.quota_owners import QuotaOwners
from fuchsiagap_node.core.mesh.quotas import LOOK_MS as QUOTA_LOOK_MS
from fuchsiagap_node.core.mesh.quotas import Quotas
from fuchsiagap_node.core.mesh.workspace_check import WorkspaceCheck

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.routes.model import RouteConfig
    from fuchsiagap_node.core.mesh.config_sync import ConfigSync
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import TokensWanted
    from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink
    from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.taking import TakingLinks
    from fuchsiagap_node.core.mesh.ticker import Ticker


class Workspaces:
    """Whose requests are let in, and how many.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    own : Member
        This node.
    config : ConfigSync
        The configuration in force.
    links : callable
        Returns the links to other nodes.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Chooses whom of the others to ask.
    event_log : EventLog
        Logs and counters.

    Attributes
    ----------
    knowledge : KnowledgeExchange
        Age of what is known of keys.
    quotas : Quotas
        Requests that workspaces may make.
    check : WorkspaceCheck
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
        self.knowledge = KnowledgeExchange(
            config, links, cfg.bounds.revocation, clock, rng
        )
        owners = QuotaOwners(
            own, links, lambda: config.update_source is UpdateSource.STORE, clock
        )
        self.quotas = Quotas(owners, self._post, cfg.first_start, clock, event_log)
        self.check = WorkspaceCheck(
            self.knowledge.is_too_old,
            lambda: config.in_force.knowledge_age,
            clock,
            event_log,
        )

    def _post(self, node: str, message: TokensWanted) -> bool:
        link = self._links().ensure_link(node)
        if link is None or not link.is_open():
            return False
        link.post(message)
        return True

    def adopt(self, config: RouteConfig) -> None:
        """Put the workspaces of a configuration in force."""
        self.quotas.adopt(config.workspaces or ())

    def prepare_link(self, link: OutboundLink) -> None:
        """Take what another node answers on a link."""
        link.on_age = self.knowledge.take_answer
        link.on_tokens = self.quotas.take_answer
        link.on_open = self.knowledge.ask_new

    def prepare_taking(self, taking: TakingLinks) -> None:
        """Answer what other nodes ask on their links."""
        taking.answer_age = self.knowledge.answer
        taking.answer_tokens = self.quotas.answer

    def schedule(self, ticker: Ticker) -> None:
        """Do at intervals what is due."""
        ticker.every(AGE_LOOK_MS, self.knowledge.look)
        ticker.every(QUOTA_LOOK_MS, self.quotas.look)
        ticker.every(SWEEP_MS, self.quotas.forget)
