"""Entries, callers of a failing service and its backend queues, without a network."""

import heapq
import itertools
import random
from collections import Counter

from fuchsiagap.core.backend_queue.health import ServerHealth
from fuchsiagap.core.clock import Clock
from fuchsiagap.core.retries.backend_budget import (
    BackendRetryBudget,
    RetryRequest,
    ServiceRetryLimits,
)
from fuchsiagap.core.retries.tree_coverage import TreeCoverage, n_admitted_keys
from fuchsiagap.core.shedding.allocation import MIN_GUARANTEED_SHARE

LIMITS = ServiceRetryLimits(0.2, 97.0, 10_000.0)
MAX_SENDS = 10
MAX_DENIALS = 4
# Milliseconds from one call to the next.
CALL_MS = 17.0


class Queue:
    """Backend queue of one server."""

    def __init__(self, fleet):
        self.health = ServerHealth(fleet.at)
        self.budget = BackendRetryBudget(LIMITS, fleet.clock, fleet.rng)


class Fleet:
    """Call trees of sequential calls to one service whose servers refuse at random."""

    def __init__(self, n_calls=4, seed=1, n_queues=4, n_entries=10, per_s=200.0):
        self.rng = random.Random(seed)
        self.at = 0.0
        self.clock = Clock(now=lambda: self.at, wall=lambda: 0.0)
        self.n_calls = n_calls
        self.per_s = per_s
        self.ranks = {0: 0.2, 2: 0.8}
        self.queues = [Queue(self) for _ in range(n_queues)]
        self.entries = [TreeCoverage() for _ in range(n_entries)]
        self.hops = [TreeCoverage() for _ in range(6)]
        self.refusing = 0.0
        self.cut_off = set()
        self.requests, self.retries = [], []
        # Trees by second, rank and outcome.
        self.outcomes = Counter()
        self._events = []
        self._order = itertools.count()
        self._plan_tree()

    def run(self, until):
        """Run to a time in seconds."""
        while self._events and self._events[0][0] <= until * 1_000.0:
            self.at, _, step = heapq.heappop(self._events)
            step()
        self.at = until * 1_000.0

    def restart(self, index):
        """Restart a backend queue, which loses its counts."""
        self.queues[index] = Queue(self)

    def count(self, outcome, since, until, rank=None):
        """Return the trees that began in a time, by outcome."""
        return sum(
            n
            for (second, tree_rank, result), n in self.outcomes.items()
            if since <= second < until
            and result == outcome
            and rank in (None, tree_rank)
        )

    def _schedule(self, delay, step):
        heapq.heappush(self._events, (self.at + delay, next(self._order), step))

    def _plan_tree(self):
        delay = self.rng.expovariate(self.per_s) * 1_000.0
        self._schedule(delay, self._begin_tree)

    def _begin_tree(self):
        self._plan_tree()
        rank = self.rng.choices(list(self.ranks), list(self.ranks.values()))[0]
        entry = self.rng.randrange(len(self.entries))
        coverage = self.entries[entry]
        share = coverage.share("s", str(rank), MIN_GUARANTEED_SHARE, self.at)
        second = int(self.at // 1_000)
        if self.rng.random() >= share:
            self.outcomes[second, rank, "refused"] += 1
            return
        key = self.rng.randrange(n_admitted_keys(share))
        hop = self.rng.choice(self.hops)
        coverage.record_sent("s", str(rank), self.at)

        def end(is_complete):
            keys = hop.covered_keys("s", str(rank), self.at)
            if entry not in self.cut_off:
                coverage.record("s", str(rank), round(keys), self.at)
            result = "complete" if is_complete else "failed"
            self.outcomes[second, rank, result] += 1

        self._call(rank, key, hop, self.n_calls, end)

    def _call(self, rank, key, hop, n_left, end):
        """Make a call of a tree, then the rest of its calls."""
        tried = []
        denials = 0
        arrivals = 0

        def send():
            nonlocal denials, arrivals
            index = self._choose(tried)
            queue = self.queues[index]
            tried.append(index)
            failing = queue.health.failing(self.at)
            budget = queue.budget
            keys = budget.covered_keys(rank, len(self.queues), failing)
            hop.record_sent("s", str(rank), self.at)
            hop.record("s", str(rank), keys, self.at)
            if not arrivals:
                budget.record_first_attempt(rank, key)
                self.requests.append(self.at)
            elif budget.try_spend(
                RetryRequest(rank, key, True, 0.0), len(self.queues), failing, True
            ):
                self.retries.append(self.at)
            else:
                denials += 1
                if denials < MAX_DENIALS and len(tried) < MAX_SENDS:
                    self._schedule(2.0, send)
                else:
                    end(False)
                return
            arrivals += 1
            is_refused = self.rng.random() < self.refusing
            queue.health.record_outcome(is_refused, self.at)
            budget.record_outcome(is_refused)
            if not is_refused:
                if n_left == 1:
                    end(True)
                else:
                    self._schedule(
                        CALL_MS,
                        lambda: self._call(rank, key, hop, n_left - 1, end),
                    )
            elif len(tried) < MAX_SENDS:
                self._schedule(2.0, send)
            else:
                end(False)

        send()

    def _choose(self, tried):
        indices = range(len(self.queues))
        untried = [index for index in indices if index not in tried]
        return self.rng.choice(untried or [i for i in indices if i != tried[-1]])
