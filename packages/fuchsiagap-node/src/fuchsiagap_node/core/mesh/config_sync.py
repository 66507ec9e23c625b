"""The configuration in force on this node, from the store or from another node."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.knowledge_age import KnowledgeAge
from fuchsiagap.core.freshness.patience import patience_within
from fuchsiagap.core.watching.turn import Hearing, Neighbour, Turn, turn_of
from fuchsiagap_node.core.mesh.messages import ConfigText, ConfigWanted
from fuchsiagap_node.core.mesh.repeated_question import ask_repeatedly
from fuchsiagap_node.core.mesh.settings import Bounds
from fuchsiagap_node.core.mesh.store import ConfigNews, HistoryGone, StoreFailed
from fuchsiagap_node.core.mesh.store_probe import StoreProbe

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.repeated_question import Heard
    from fuchsiagap_node.core.mesh.sending import Member, SendingLink
    from fuchsiagap_node.core.mesh.store import ConfigResult, Store, StoredConfig
    from fuchsiagap_node.core.mesh.telling import Teller

# Nodes that watch in each data centre: one where nodes of two others are in reach,
# whose watchers hear of the same changes, else two.
_WATCHERS = 1
_WATCHERS_ALONE = 2
_ENOUGH_ELSEWHERE = 2
# Milliseconds that one watch waits; each is one priced call. Probes tell meanwhile
# whether the store answers.
_WATCH_MS = 25_000.0
# Milliseconds between two calls while the store fails, at first and at most, of those
# that are not first in their data centre, and of all while one beside them watches.
_RETRY_OTHERS_MS = 4_000.0
_RETRY_MAX_MS = 8_000.0
_MOST_DOUBLINGS = 8
# Milliseconds after its start for which a node does not watch, until it has links to
# those that may do it: where all nodes start for the first time, they have to find each
# other before.
_SETTLE_MS = 1_500.0
_SETTLE_FIRST_START_MS = 6_000.0
# Milliseconds for which a revision is good to watch from; the store keeps changes for
# 20 s, and forgets them sooner at times.
_GOOD_BASE_MS = 10_000.0
# Shares of the bound of revocations: what a watch waits, and the age of a node's
# knowledge, drawn at random, from which it asks the store by itself.
_WATCH_SHARE = 0.15
_ASK_AT_SHARES = (0.45, 0.6)
# Milliseconds between two looks at whose turn it is.
LOOK_MS = 250.0
# Milliseconds within which a node that hears of a newer version on a link asks for it,
# drawn at random: those that have it first then serve the others, where one node would
# send it to all at once.
_ASK_WITHIN_MS = 100.0
# Milliseconds that this node's own watch gets before another node is asked.
_ASK_AFTER_WATCH_MS = 300.0
# Milliseconds after which a version that was asked for is asked for elsewhere.
_ASK_AGAIN_MS = 600.0


_USUAL_BOUNDS = Bounds()


class _Cause(Enum):
    """Why the store is asked for the configuration."""

    START = "start"
    WATCH = "watch"
    TAKE_OVER = "take-over"
    HISTORY_GONE = "history-gone"


class ConfigSync:
    """Adopts versions in order and never goes back.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Time in milliseconds.
    teller : Teller
        Logs.
    adopt : callable
        Puts a configuration in force.
    own : Member
        This node.
    links : callable
        Returns the links to other nodes.
    rng : random.Random
        Spreads whom of the others is asked, and when.
    first_start : bool
        Whether the whole system starts for the first time.
    bounds : Bounds
        Times within which changes and revocations have to be in force.

    Attributes
    ----------
    knowledge : KnowledgeAge
        Since when a change can have escaped this node.
    hearing : Hearing
        How this node hears of changes.
    changed : callable
        Told that `hearing` has changed.
    nursery : trio.Nursery or None
        Holds what asks other nodes; None until the node serves.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        teller: Teller,
        adopt: Callable[[StoredConfig], None],
        own: Member,
        links: Callable[[], Iterable[SendingLink]],
        rng: random.Random,
        first_start: bool = False,
        bounds: Bounds = _USUAL_BOUNDS,
    ) -> None:
        self._store = store
        self._bound = bounds.revocation
        self._patience = patience_within(bounds.change)
        self._store_probe = StoreProbe(store, own.node, self._patience, teller)
        self._clock = clock
        self._tell = teller
        self._adopt = adopt
        self._own = own
        self._links = links
        self._rng = rng
        settle = _SETTLE_FIRST_START_MS if first_start else _SETTLE_MS
        self._settled_at = clock.now() + settle
        self._stored: StoredConfig | None = None
        self._adopted_at = clock.now()
        self._heard_at = clock.now()
        # The revision to watch from, 0 for none, and when it was the newest.
        self._base = 0
        self._base_at = clock.now()
        self._is_first_read = True
        self._is_recent = False
        self._asked_at: Milliseconds | None = None
        # Those that have lost touch together do not ask together.
        self._ask_at = rng.uniform(*_ASK_AT_SHARES)
        self._due_since: Milliseconds | None = None
        self._may_ask_now = trio.Event()
        # Whether the store did not answer the last question.
        self._is_lost = False
        self._watch_scope: trio.CancelScope | None = None
        self._asking_others = False
        # Set at the next adoption.
        self._adopted = trio.Event()
        self.knowledge = KnowledgeAge()
        self.hearing = Hearing.RELIES
        self.changed: Callable[[], None] = _ignore
        self.nursery: trio.Nursery | None = None

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return 0 if self._stored is None else self._stored.revision

    @property
    def version(self) -> int:
        """Version in force, as the operators count; 0 before the first."""
        return 0 if self._stored is None else self._stored.config.version

    @property
    def adopted_age(self) -> Milliseconds:
        """Milliseconds since the version in force was adopted, or since the start."""
        return self._clock.now() - self._adopted_at

    @property
    def store_age(self) -> Milliseconds:
        """Milliseconds since the store last answered, or since the start."""
        return self._clock.now() - self._heard_at

    @property
    def question_age(self) -> Milliseconds:
        """Milliseconds that the question under way waits for its answer; 0 for none."""
        return 0.0 if self._asked_at is None else self._clock.now() - self._asked_at

    @property
    def knowledge_age(self) -> Milliseconds:
        """Milliseconds for which a change can have escaped this node."""
        return self._clock.now() - self.knowledge.as_of

    def confirm(self, revision: int, as_of: Milliseconds) -> None:
        """Take in that a revision was the newest at a moment."""
        self.knowledge.confirm(revision, as_of, self.revision)

    def text(self) -> ConfigText | None:
        """Return the configuration in force for another node."""
        if self._stored is None:
            return None
        return ConfigText(self._stored.revision, self._stored.text)

    def take(self, stored: StoredConfig, source: str) -> None:
        """Adopt a configuration if it is newer than the one in force."""
        if stored.revision <= self.revision:
            return
        old = self._stored
        if old is not None and stored.config.version < old.config.version:
            self._tell.event(
                "config-refused",
                version=stored.config.version,
                in_force=old.config.version,
                source=source,
            )
            return
        self._stored = stored
        self._adopted_at = self._clock.now()
        self._note_base(stored.revision)
        self._adopt(stored)
        self.knowledge.adopt(stored.revision)
        adopted, self._adopted = self._adopted, trio.Event()
        adopted.set()
        self._tell.event(
            "config-adopted",
            version=stored.config.version,
            revision=stored.revision,
            routes=len(stored.config.routes),
            source=source,
        )

    def take_text(self, message: ConfigText, source: str) -> None:
        """Adopt a configuration that another node has sent."""
        if message.revision <= self.revision:
            return
        stored = self._store.decode_config(message.revision, message.text)
        if stored is None:
            self._tell.event("config-unreadable", source=source)
            return
        self.take(stored, source)
        if self.nursery is not None and self._watch_scope is not None:
            self.nursery.start_soon(self._doubt_watch, self._watch_scope)

    def peer_has(self, link: SendingLink) -> None:
        """Ask for the configuration where another node has a newer one."""
        if link.revision <= self.revision or self._asking_others:
            return
        if self.nursery is not None:
            self._asking_others = True
            self.nursery.start_soon(self._ask_others)

    async def _ask_others(self) -> None:
        """Ask nodes that are ahead, one after the other, until none is."""
        try:
            wait = self._rng.random() * _ASK_WITHIN_MS
            if self.hearing is Hearing.WATCHES:
                wait = _ASK_AFTER_WATCH_MS
            await trio.sleep(wait / MS_PER_S)
            asked: set[str] = set()
            while (link := self._one_ahead(asked)) is not None:
                asked.add(link.member.node)
                self._tell.event(
                    "config-asked", of=link.member.node, theirs=link.revision
                )
                link.post(ConfigWanted())
                # A version that came meanwhile is asked for as soon as this one is
                # here, not after the wait for it.
                with trio.move_on_after(_ASK_AGAIN_MS / MS_PER_S):
                    await self._adopted.wait()
        finally:
            self._asking_others = False

    def _one_ahead(self, asked: Collection[str]) -> SendingLink | None:
        """Return a node with a newer version, one not asked yet and near if any is.

        Bytes between data centres are dear, and a version may have thousands of routes.
        """
        ahead = [link for link in self._links() if link.revision > self.revision]
        if not ahead:
            return None

        def rank(link: SendingLink) -> tuple[bool, bool, float]:
            is_asked = link.member.node in asked
            return is_asked, not link.target.local, self._rng.random()

        return min(ahead, key=rank)

    def _n_watchers(self) -> int:
        """Return how many nodes are to watch in each data centre."""
        own = self._own.data_centre
        places = {link.member.data_centre for link in self._links() if link.is_heard()}
        enough = len(places - {own}) >= _ENOUGH_ELSEWHERE
        return _WATCHERS if enough else _WATCHERS_ALONE

    def _turn(self) -> Turn:
        near = (
            Neighbour(link.member.node, link.hearing)
            for link in self._links()
            if link.target.local and link.is_heard()
        )
        return turn_of(self._own.node, near, self._n_watchers())

    def look(self) -> None:
        """Look whether it is this node's turn to ask the store."""
        turn = self._turn()
        now = self._clock.now()
        if self._is_too_old():
            self._may_ask_now.set()
        if not turn.is_due:
            self._due_since = None
            self._set_hearing(Hearing.RELIES)
            return
        if self._due_since is None:
            self._due_since = now
        patience = turn.patience(self._n_watchers())
        if now < max(self._due_since + patience, self._settled_at):
            return
        if (
            self._is_lost
            and turn.others_watch
            and not turn.is_first(self._n_watchers())
        ):
            return
        self._may_ask_now.set()

    def _is_too_old(self) -> bool:
        """Whether the others have not told for long how old their knowledge is."""
        if self._bound is None or self._clock.now() < self._settled_at:
            return False
        return self.knowledge_age > self._bound * self._ask_at

    async def _wait_for_turn(self) -> None:
        self._may_ask_now = trio.Event()
        self.look()
        await self._may_ask_now.wait()

    def _set_hearing(self, hearing: Hearing) -> None:
        if self.hearing is not hearing:
            self.hearing = hearing
            self.changed()

    def _note_base(self, revision: int) -> None:
        if revision >= self._base:
            self._base = revision
            self._base_at = self._clock.now()

    async def run(self) -> None:
        """Ask the store whenever it is this node's turn, until cancelled."""
        n_failed = 0
        while True:
            if self._base:
                await self._wait_for_turn()
            asked_at = self._asked_at = self._clock.now()
            result = await self._ask_store()
            self._asked_at = None
            match result:
                case ConfigNews(revision, stored):
                    n_failed = 0
                    self._hear(revision)
                    if stored is not None:
                        self._check_order(stored)
                        self.take(stored, "store")
                    if self._is_recent:
                        newest = 0 if stored is None else stored.revision
                        self.confirm(newest, asked_at)
                case HistoryGone():
                    self._tell.event(
                        "history-gone", what="configuration", base=self._base
                    )
                    self._base = 0
                    await trio.sleep(self._patience.pause / MS_PER_S)
                case StoreFailed(reason):
                    self._lose_store(reason)
                    # One that was silent has been waited for already.
                    was_silent = self._clock.now() - asked_at > self._patience.again
                    n_failed += 1
                    await self._pause(n_failed, was_silent)

    def _check_order(self, stored: StoredConfig) -> None:
        """Tell of a store whose newest configuration is older than the one in force."""
        if stored.revision < self.revision and self._is_recent:
            self._tell.event(
                "store-behind",
                version=stored.config.version,
                revision=stored.revision,
                in_force=self.version,
                in_force_revision=self.revision,
            )

    def _lose_store(self, reason: str) -> None:
        """Note that the store does not answer."""
        if not self._is_lost:
            self._tell.event("store-lost", what="configuration", cause=reason)
        self._is_lost = True
        self._set_hearing(Hearing.DEAF)

    def _hear(self, revision: int) -> None:
        """Note that the store has answered, and at which revision."""
        self._heard_at = self._clock.now()
        self._is_first_read = False
        if self._is_lost:
            self._tell.event("store-regained", what="configuration")
        self._is_lost = False
        if self._turn().is_due:
            self._set_hearing(Hearing.WATCHES)
        self._base = 0
        self._note_base(max(revision, self.revision))

    async def _pause(self, n_failed: int, was_silent: bool) -> None:
        """Wait until the store that failed is to be asked again.

        Whoever becomes first of its data centre meanwhile asks as soon as the first.
        """
        started = self._clock.now()
        spread = self._rng.uniform(0.5, 1.0)
        while True:
            wait = self._retry_after(n_failed, was_silent, spread)
            left = started + wait - self._clock.now()
            if left <= 0.0:
                return
            await trio.sleep(min(left, LOOK_MS) / MS_PER_S)

    def _retry_after(
        self, n_failed: int, was_silent: bool, spread: float
    ) -> Milliseconds:
        """Return how long to wait after some failures in a row.

        A question to a silent store has been repeated already while it waited.
        """
        turn = self._turn()
        if turn.others_watch:
            return _RETRY_MAX_MS * spread
        doubled = 2.0 ** min(n_failed - 1, _MOST_DOUBLINGS)
        if turn.is_first(self._n_watchers()):
            longest = self._patience.most_pause
            return 0.0 if was_silent else min(self._patience.pause * doubled, longest)
        return min(_RETRY_OTHERS_MS * doubled, _RETRY_MAX_MS) * spread

    async def _ask_store(self) -> ConfigResult:
        """Read the configuration, or wait for the next one."""
        self._is_recent = True
        # A watch that a silent store drops would hide for long that it is back.
        is_doubtful = self._is_lost or self.store_age > self._patience.probe
        if is_doubtful and (lost := (await self._probe()).result) is not None:
            return lost
        if self._is_first_read and not self._base and self._bound is None:
            # One that may be seconds old is a tenth of the price. A newer one comes on
            # the links, or with the first watch from this one on.
            self._is_recent = False
            return await self._read(_Cause.START, recent=False)
        if self._is_first_read and not self._base:
            return await self._read(_Cause.START, recent=True)
        if not self._base:
            return await self._read(_Cause.HISTORY_GONE, recent=True)
        if self._clock.now() - self._base_at > _GOOD_BASE_MS:
            return await self._read(_Cause.TAKE_OVER, recent=True)
        return await self._watch()

    async def _watch(self) -> ConfigResult:
        """Wait for the next configuration as long as the store answers probes."""
        while (result := await self._watch_once()) is None:
            self._tell.event("watch-restarted", what="configuration", base=self._base)
        return result

    async def _watch_once(self) -> ConfigResult | None:
        """Return what a watch gave; None if the store may have dropped it."""
        results: list[ConfigResult] = []
        async with trio.open_nursery() as nursery:
            self._watch_scope = nursery.cancel_scope
            nursery.start_soon(self._probe_until_lost, results, nursery.cancel_scope)
            self._tell.store_call("config-watch", _Cause.WATCH.value)
            results.append(await self._store.watch_config(self._base, self._watch_ms()))
            nursery.cancel_scope.cancel()
        self._watch_scope = None
        return results[0] if results else None

    async def _probe_until_lost(
        self, results: list[ConfigResult], watch_scope: trio.CancelScope
    ) -> None:
        """End a watch once the store is lost, or may have dropped it.

        One change wakes all that watch; they do not probe at the same moments for that.
        """
        wait = self._patience.probe * self._rng.random()
        is_sound = True
        while is_sound:
            await trio.sleep(wait / MS_PER_S)
            wait = self._patience.probe
            if not self._turn().is_due:
                continue
            heard = await self._probe()
            if heard.result is not None:
                results.append(heard.result)
            is_sound = heard.result is None and not heard.n_unanswered
        watch_scope.cancel()

    async def _doubt_watch(self, watch_scope: trio.CancelScope) -> None:
        """End a watch that does not tell of a version which other nodes have."""
        await trio.sleep(self._patience.again / MS_PER_S)
        watch_scope.cancel()

    async def _probe(self) -> Heard[StoreFailed | None]:
        return await self._store_probe.ask("liveness", self._suspect_store)

    def _suspect_store(self) -> None:
        self._lose_store("silent")

    def _watch_ms(self) -> Milliseconds:
        """Return how long a watch waits.

        Where revocations are bound, knowledge counts from the beginning of a watch.
        """
        if self._bound is not None:
            return self._bound * _WATCH_SHARE
        return _WATCH_MS

    async def _read(self, cause: _Cause, recent: bool) -> ConfigResult:
        kind = "config-read" if recent else "config-read-older"

        async def ask() -> ConfigResult:
            self._tell.store_call(kind, cause.value)
            return await self._store.read_config(recent)

        every = self._patience.again
        return (await ask_repeatedly(ask, every, self._suspect_store)).result


def _ignore() -> None:
    """Do nothing."""
