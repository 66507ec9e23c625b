"""A service as one entry sees it, some hops above, without any connection."""

import random

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.placement.choice import Target
from fuchsiagap.core.pressure.evenly import CallerTurn
from fuchsiagap.core.pressure.served import ServedShares
from fuchsiagap_node.core.mesh.admission import STEP_MS, Admission
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.messages import Below
from fuchsiagap_node.core.mesh.peers import Peers
from fuchsiagap_node.core.mesh.pressures import Pressures


class _Door:
    """A door that stands for its target alone."""

    def __init__(self, target):
        self.target = target


class AService:
    """Servers of ten places each, and the entry of one node to their service.

    Parameters
    ----------
    n_servers : int
        Servers.
    hops : int
        Services between the entry and this one, each with one idle server; 0 if
        requests go to it directly.

    Attributes
    ----------
    targets : list of Target
        The servers, as all nodes see them.
    """

    def __init__(self, n_servers=1, hops=0):
        self.now = 0.0
        clock = Clock(lambda: self.now, lambda: self.now)
        self.targets = [_target(n, "certs") for n in range(n_servers)]
        self._chain = [Pressures(_peers(self.targets), clock)]
        for hop in range(hops):
            between = [_target(hop, "between")]
            self._chain.append(Pressures(_peers(between), clock))
        self.served = ServedShares()
        self.admission = Admission(
            self._chain[-1], self.served, clock, random.Random(1), EventLog("n", clock)
        )
        self._turn = CallerTurn()

    def step(self, offered):
        """Let a tenth of a second pass at a load of each server."""
        for target, load in zip(self.targets, offered, strict=True):
            target.offered = load
        self.now += STEP_MS
        called = "certs"
        for below, above in zip(self._chain[:-1], self._chain[1:], strict=True):
            below.note_call("read", called, "read")
            above.note_reply("between", "read", Below(below.below("read"), 1))
            called = "between"
        self.admission.step()

    def let_in(self, route, n_requests):
        """Return how many of some requests are let in."""
        service = "certs" if len(self._chain) == 1 else "between"
        share = self.admission.admitted_share(service, route)
        turn = self._turn
        admits = [self.admission.admits(route, share, turn) for _ in range(n_requests)]
        for admitted in admits:
            if admitted:
                self.served.note_end(route.name, True, self.now)
            else:
                self.served.note_refused(route.name, self.now)
        return sum(admits)


def _target(number, service):
    name = f"{service}-{number}"
    return Target(name, f"i-{name}", service, local=True, limit=10)


def _peers(targets):
    peers = Peers()
    for target in targets:
        peers.put(_Door(target))
    return peers
