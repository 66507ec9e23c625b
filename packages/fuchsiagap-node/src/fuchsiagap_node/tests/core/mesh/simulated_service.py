"""Simulated service, as seen by an entry node some hops away, without connections."""

import random

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.placement.choice import Target
from fuchsiagap.core.shedding.fair_admission import CallerCredit
from fuchsiagap.core.shedding.served import ServedShares
from fuchsiagap_node.core.mesh.admission import STEP_MS, Admission
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.messages import DownstreamSummary
from fuchsiagap_node.core.mesh.peers import Peers
from fuchsiagap_node.core.mesh.route_loads import RouteLoads


class _StaticPeer:
    """A peer that has a target and nothing else."""

    def __init__(self, target):
        self.target = target


class SimulatedService:
    """Servers of ten slots each, and the admission control of one entry node.

    Parameters
    ----------
    n_servers : int
        Number of servers of the service.
    states_speed : bool, optional
        Whether the servers state their present speed; by default `Admission` is built
        as for servers that do not.
    hops : int
        Number of services between the entry node and this service, each with one idle
        server; 0 if requests go to it directly.

    Attributes
    ----------
    targets : list of Target
        The servers, as all nodes see them.
    """

    def __init__(self, n_servers=1, hops=0, states_speed=None):
        self.now = 0.0
        clock = Clock(lambda: self.now, lambda: self.now)
        self.targets = [_target(n, "certs") for n in range(n_servers)]
        self._chain = [RouteLoads(_peers(self.targets), clock)]
        for hop in range(hops):
            between = [_target(hop, "between")]
            self._chain.append(RouteLoads(_peers(between), clock))
        self.served = ServedShares()
        self.event_log = EventLog("n", clock)
        self.admission = Admission(
            self._chain[-1],
            self.served,
            clock,
            random.Random(1),
            self.event_log,
            *(() if states_speed is None else (lambda: states_speed,)),
        )
        self._credit = CallerCredit()

    def step(self, offered):
        """Advance by one step of admission control, with an offered load per server."""
        for target, load in zip(self.targets, offered, strict=True):
            target.offered = load
        self.now += STEP_MS
        called = "certs"
        for below, above in zip(self._chain[:-1], self._chain[1:], strict=True):
            below.record_nested_call("read", called, "read")
            above.record_reply(
                "between",
                "read",
                DownstreamSummary(below.downstream_fullness("read"), 1),
            )
            called = "between"
        self.admission.step()

    def admit(self, route, n_requests):
        """Return how many of `n_requests` requests are admitted."""
        service = "certs" if len(self._chain) == 1 else "between"
        share = self.admission.admitted_share(service, route)
        credit = self._credit
        admits = [
            self.admission.admits(route, share, credit) for _ in range(n_requests)
        ]
        for admitted in admits:
            if admitted:
                self.served.record_end(route.name, True, self.now)
            else:
                self.served.record_refused(route.name, self.now)
        return sum(admits)


def _target(number, service):
    name = f"{service}-{number}"
    return Target(name, f"i-{name}", service, local=True, limit=10)


def _peers(targets):
    peers = Peers()
    for target in targets:
        peers.put(_StaticPeer(target))
    return peers
