"""Event-driven model of a service in overload and of the entry nodes that load it.

Requests make calls to the service one after the other, so what an entry node admits
shows there 0.3 to 1.2 s later. Nothing is sent: the model has a fixed work per call, a
bounded queue, and the report of offered load that nodes propagate with their replies.
"""

import heapq
import math
import random
from collections import defaultdict
from dataclasses import dataclass, field

from fuchsiagap.core.backend_queue.offered_load import OfferedLoad
from fuchsiagap.core.clock import Clock
from fuchsiagap.core.shedding.fair_admission import CallerCredit
from fuchsiagap.core.shedding.served import ServedShares
from fuchsiagap_node.core.mesh.admission import STEP_MS, Admission
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.route_loads import _propagated
from fuchsiagap_standins.mesh.deployment import a_route

N_NODES = 60
RATE = 18.0
SLOTS = 112
WORK_MS = 15.0
MAX_WAIT_MS = 300.0
# Total wait of the calls of a tree beyond which it fails.
MAX_TREE_WAIT_MS = 700.0
OBJECTIVE_MS = 1_200.0
# Share of the requests, nested calls of a tree, calls of it that reach the service, and
# services between the entry node and the service. At the mean rate these are 0.88 of
# the capacity, as at the service of customer A at the end of its call chains.
KINDS = {
    "order": (0.23, 6, 4, 2),
    "quote": (0.63, 12, 8, 3),
    "deposit": (0.14, 0, 1, 0),
}
ROUTES = {
    name: a_route(name, priority=priority, objective=OBJECTIVE_MS)
    for name, priority in (("order", 0), ("quote", 2), ("deposit", 2))
}
REPLY_DELAY_MS = 100.0
SMOOTHING_MS = 60.0


class _Loads:
    """What one entry node knows of the load downstream, as `RouteLoads` reports it."""

    def __init__(self, model):
        self._model = model
        self._values = {}

    def record(self, kind):
        """Update a kind from a reply that arrives now."""
        reported = self._model.reported()
        for _ in range(KINDS[kind][3]):
            reported = _propagated(reported)
        value, at = self._values.get(kind, (reported, self._model.now))
        weight = 1.0 - math.exp((at - self._model.now) / SMOOTHING_MS)
        self._values[kind] = value + (reported - value) * weight, self._model.now

    def fullness(self, _, kind):
        value, at = self._values.get(kind, (0.0, self._model.now))
        return value * math.exp((at - self._model.now) / 2_000.0)

    def reply_age(self, _, kind):
        known = self._values.get(kind)
        return math.inf if known is None else self._model.now - known[1]

    def calls(self, _, kind):
        return KINDS[kind][1] if kind in self._values else 0.0


class _Node:
    """An entry node."""

    def __init__(self, model, seed, states_speed):
        clock = Clock(lambda: model.now, lambda: model.now)
        self.loads = _Loads(model)
        self.served = ServedShares()
        self.admission = Admission(
            self.loads,
            self.served,
            clock,
            random.Random(seed),
            EventLog("n", clock),
            *([lambda: True] if states_speed else []),
        )
        self.reachable = True
        self.generation = 0


@dataclass
class _Bin:
    """Counts of 100 ms."""

    admitted: int = 0
    failed: int = 0
    started: int = 0
    by_kind: dict = field(default_factory=lambda: defaultdict(lambda: [0, 0]))


class OverloadedService:
    """A service with 112 slots and 60 entry nodes.

    Parameters
    ----------
    factor : callable
        Factor of the mean request rate at a time in milliseconds.
    seed : int
        Seed of arrivals and decisions.
    by_rate : bool
        Whether the servers state their present speed, so that admission by rate acts.
    """

    def __init__(self, factor, seed=1, by_rate=True, n_nodes=N_NODES):
        self.now = 0.0
        self._factor = factor
        self._rng = random.Random(seed)
        self._by_rate = by_rate
        self._events = []
        self._n_events = 0
        self._slots = [0.0] * SLOTS
        self._waiting = []
        self._offered = OfferedLoad()
        self._reports = [0.0]
        self.bins = defaultdict(_Bin)
        self.nodes = [_Node(self, seed * 1_000 + n, by_rate) for n in range(n_nodes)]
        self._rate = RATE * n_nodes / 1_000.0
        self.slots_at = []

    def at(self, time, action):
        """Schedule an action."""
        self._n_events += 1
        heapq.heappush(self._events, (time, self._n_events, action))

    def run(self, until):
        """Run until a time in milliseconds."""
        self.at(self.now, self._arrive)
        self.at(self.now, self._step)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def set_slots(self, n):
        """Change the number of slots."""
        while len(self._slots) > n:
            heapq.heappop(self._slots)
        while len(self._slots) < n:
            heapq.heappush(self._slots, self.now)

    def restart(self):
        """Replace all entry nodes; the requests in progress are lost."""
        for n, node in enumerate(self.nodes):
            new = _Node(self, 77 + n, self._by_rate)
            node.loads, node.served, node.admission = (
                new.loads,
                new.served,
                new.admission,
            )
            node.generation += 1
        self._slots = [self.now] * len(self._slots)
        self._waiting = []

    def reported(self):
        """Return the fullness that a reply carries."""
        n = int(REPLY_DELAY_MS / 50.0)
        return self._reports[-n] if len(self._reports) >= n else 0.0

    def _step(self):
        if int(self.now / 50.0) % 2 == 0:
            for node in self.nodes:
                node.admission.step()
        while self._waiting and self._waiting[0] <= self.now:
            heapq.heappop(self._waiting)
        places = self._offered.places(self.now, WORK_MS, len(self._waiting))
        self._reports.append(places / len(self._slots))
        self.slots_at.append(len(self._slots))
        self.at(self.now + STEP_MS / 2.0, self._step)

    def _bin(self, at=None):
        return self.bins[int((self.now if at is None else at) / 100.0)]

    def _arrive(self):
        kind = self._rng.choices(list(KINDS), [k[0] for k in KINDS.values()])[0]
        self._ask(self._rng.choice(self.nodes), kind, False)
        rate = self._rate * self._factor(self.now)
        self.at(self.now + self._rng.expovariate(rate), self._arrive)

    def _ask(self, node, kind, again):
        route = ROUTES[kind]
        share = node.admission.admitted_share(kind, route)
        counts = self._bin().by_kind[kind]
        if not again:
            counts[0] += 1
        if node.admission.admits(route, share, CallerCredit()):
            counts[1] += 1
            self._bin().admitted += 1
            if node.reachable:
                _Tree(self, node, kind)
            else:
                generation = node.generation
                self.at(
                    self.now + 1_000.0,
                    lambda: (
                        node.generation == generation
                        and node.served.record_end(kind, False, self.now)
                    ),
                )
            return
        node.served.record_refused(kind, self.now)
        if not again:
            wait = node.admission.retry_after(route)
            self.at(self.now + wait, lambda: self._ask(node, kind, True))

    def start_call(self):
        """Return the end of a call that arrives now; infinity if it is refused."""
        self._offered.record_arrival(self.now)
        start = max(self.now, self._slots[0])
        wait = start - self.now
        if wait > MAX_WAIT_MS:
            return math.inf
        heapq.heapreplace(self._slots, start + WORK_MS)
        if wait:
            heapq.heappush(self._waiting, start)
        self._bin(start).started += 1
        return start + WORK_MS

    def window(self, begin, end):
        """Return the counts of a time range in seconds."""
        return [self.bins[n] for n in range(round(begin * 10), round(end * 10))]

    def failed(self, begin, end):
        """Return the share of the requests admitted in a range that fail."""
        bins = self.window(begin, end)
        return sum(b.failed for b in bins) / max(sum(b.admitted for b in bins), 1)

    def used(self, begin, end):
        """Return the share of the capacity used in a range."""
        slots = self.slots_at[round(begin * 20) : round(end * 20)]
        capacity = sum(slots) * 50.0
        return sum(b.started for b in self.window(begin, end)) * WORK_MS / capacity

    def swing(self, begin, end):
        """Return the standard deviation of the load in half seconds of a range."""
        loads = [
            sum(b.started for b in self.window(begin + n / 2, begin + n / 2 + 0.5))
            * WORK_MS
            / (SLOTS * 500.0)
            for n in range(round((end - begin) * 2))
        ]
        mean = sum(loads) / len(loads)
        return math.sqrt(sum((x - mean) ** 2 for x in loads) / len(loads))

    def cut_off(self, from_ms, until_ms):
        """Cut off half of the entry nodes for a time."""
        for node in self.nodes[::2]:
            self.at(from_ms, lambda node=node: setattr(node, "reachable", False))
            self.at(until_ms, lambda node=node: setattr(node, "reachable", True))

    def refused(self, begin, end, kind="quote"):
        """Return the share of the requests of a kind not admitted, retries counted."""
        asked = sum(b.by_kind[kind][0] for b in self.window(begin, end))
        admitted = sum(b.by_kind[kind][1] for b in self.window(begin, end))
        return 1.0 - admitted / max(asked, 1)


class _Tree:
    """The calls of an admitted request."""

    def __init__(self, model, node, kind):
        self._model, self._node, self._kind = model, node, kind
        self._generation = node.generation
        self._left = KINDS[kind][2]
        self._waited = 0.0
        spread = 900.0 / max(self._left - 1, 1)
        self._gap = model._rng.uniform(0.4, 1.0) * spread - WORK_MS
        self._bin = model._bin()
        first = model._rng.uniform(300.0, 400.0) if self._left > 1 else 5.0
        model.at(model.now + first, self._call)

    def _call(self):
        if self._node.generation != self._generation:
            return
        end = self._model.start_call()
        self._waited += end - self._model.now - WORK_MS
        if self._waited > MAX_TREE_WAIT_MS:
            failed_at = min(end, self._model.now + 5.0)
            self._model.at(failed_at, lambda: self._end(False))
            return
        self._left -= 1
        if self._left:
            self._model.at(end + self._gap, self._call)
        else:
            self._model.at(end + 5.0, lambda: self._end(True))

    def _end(self, served):
        if self._node.generation != self._generation:
            return
        if self._node.reachable:
            self._node.loads.record(self._kind)
        self._node.served.record_end(self._kind, served, self._model.now)
        self._bin.failed += not served
