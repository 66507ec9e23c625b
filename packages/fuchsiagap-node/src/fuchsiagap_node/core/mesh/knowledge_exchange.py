"""Asks other nodes how old their knowledge is, and answers them."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from fuchsiagap.core.freshness.sources import Source, Sources
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.messages import Age, AgeWanted

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.config_sync import ConfigSync
    from fuchsiagap_node.core.mesh.outbound_link import OutboundLink

# Milliseconds between two looks at how old the own knowledge is.
LOOK_MS = 250.0
# Shares of the bound of revocations: ages from which others are asked, and from which
# more of them are.
_ASK_AT = 0.15
_URGENT_AT = 0.4
# Share of the bound by which keys are refused before its end: what a clock may be off.
_MARGIN = 0.05
# Milliseconds for which an answer is waited for; one that comes later says as much as
# it is old, and takes no place in memory until then.
_ANSWER_MS = 2_000.0


class KnowledgeExchange:
    """Keeps the age of a node's knowledge low, where revocations are bound.

    Parameters
    ----------
    config : ConfigSync
        The configuration in force, and its age.
    links : callable
        Returns the links to other nodes.
    bound : float or None
        Bound of revocations in milliseconds; None for none.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Chooses whom to ask.
    """

    def __init__(
        self,
        config: ConfigSync,
        links: Callable[[], Iterable[OutboundLink]],
        bound: Milliseconds | None,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._config = config
        self._links = links
        self._bound = bound
        self._clock = clock
        self._questions = count(1)
        self._asked: dict[int, Milliseconds] = {}
        self._sources = Sources(rng)

    def is_too_old(self) -> bool:
        """Whether a key that this node knows may have been taken away too long ago."""
        if self._bound is None:
            return False
        return self._config.in_force.knowledge_age > self._bound * (1.0 - _MARGIN)

    def look(self) -> None:
        """Ask others if the own knowledge is getting old."""
        if self._bound is None:
            return
        now = self._clock.now()
        age = self._config.in_force.knowledge_age
        if age < self._bound * _ASK_AT:
            return
        self._asked = {
            question: at
            for question, at in self._asked.items()
            if now - at < _ANSWER_MS
        }
        links = {
            link.member.node: link for link in self._links() if link.is_responsive()
        }
        nodes = [
            Source(name, link.update_source is UpdateSource.STORE, link.target.local)
            for name, link in links.items()
        ]
        is_urgent = age > self._bound * _URGENT_AT
        for name in self._sources.choose(nodes, now, is_urgent):
            self._ask(links[name])

    def ask_new(self, link: OutboundLink) -> None:
        """Ask a node that has just been linked, if the own knowledge is old."""
        if self._bound is None or not self._config.in_force.version:
            return
        if self._config.in_force.knowledge_age > self._bound * _URGENT_AT:
            self._ask(link)

    def _ask(self, link: OutboundLink) -> None:
        question = next(self._questions)
        self._asked[question] = self._clock.now()
        link.post(AgeWanted(question))

    def answer(self, question: AgeWanted) -> Age | None:
        """Return the answer to another node; None before anything is known."""
        age = self._config.in_force.knowledge_age
        if age == float("inf"):
            return None
        return Age(question.question, self._config.in_force.version, max(age, 0.0))

    def take_answer(self, answer: Age, node: str) -> None:
        """Take in what another node has answered.

        Its age counts from this node's question: what time the question, the answer and
        either host took on the way makes the knowledge older here, never younger.
        """
        asked_at = self._asked.pop(answer.question, None)
        if asked_at is None:
            return
        now = self._clock.now()
        as_of = asked_at - answer.age
        self._sources.record(node, now - as_of, now)
        self._config.in_force.confirm(answer.version, as_of)
