"""Settings of membership, liveness, digest and drain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of membership; the defaults notice a dead node within 3 s.

    Parameters
    ----------
    heartbeat_interval : float, default=900
        Milliseconds between two heartbeats to a neighbour.
    heartbeat_slack : float, default=150
        Milliseconds by which a heartbeat may be late before its sender is probed.
    probe_timeout : float, default=250
        Milliseconds until a probe without reply has failed.
    cross_probe_interval : float, default=2000
        Milliseconds between two rounds of probes of other data centres.
    suspicion : float, default=800
        Milliseconds in which a suspected node may refute before it counts as dead.
    n_rings : int, default=3
        Rings of the own data centre, so the nodes that watch one node there.
    n_indirect : int, default=2
        Other nodes that are asked to probe one that did not reply.
    n_cross_probes : int, default=2
        Other data centres probed in each round, in turn.
    cross_probe_attempts : int, default=3
        Further nodes of a data centre tried before it counts as unreachable.
    flush_delay : float, default=50
        Milliseconds for which changes are collected before they are passed on.
    max_updates : int, default=64
        Members in one message, at most.
    sync_interval : float, default=1000
        Milliseconds between two looks for nodes with another view, among them
        ones that count as dead.
    dead_retention : float, default=600_000
        Milliseconds for which a dead or left member is remembered in full.
    max_remembered : int, default=8192
        Dropped members whose last known life is still remembered.
    stall_slack : float, default=150
        Milliseconds by which a timer may be late before this process takes itself
        for paused, and draws no conclusion from what it missed.
    digest_interval : float, default=10_000
        Milliseconds between two looks of a relay at its digest.
    n_relays : int, default=2
        Nodes of each data centre that write its digest.
    announce_interval : float, default=60_000
        Milliseconds between two looks of a relay at the announcements.
    join_timeout : float, default=2000
        Milliseconds a starting node waits at most until others know it.
    join_propagation_delay : float, default=300
        Milliseconds for its record to reach all others once one has it.
    drain_notice_timeout : float, default=1500
        Milliseconds a leaving node spends at most on telling others.
    drain_relay_time : float, default=300
        Milliseconds a node that has left goes on passing calls on, while it becomes
        known who has its tickets.
    max_successors : int, default=3
        Nodes to which a leaving one offers its tickets, one after another.
    """

    heartbeat_interval: Milliseconds = 900.0
    heartbeat_slack: Milliseconds = 150.0
    probe_timeout: Milliseconds = 250.0
    cross_probe_interval: Milliseconds = 2_000.0
    suspicion_timeout: Milliseconds = 800.0
    n_rings: int = 3
    n_indirect: int = 2
    n_cross_probes: int = 2
    cross_probe_attempts: int = 3
    flush_delay: Milliseconds = 50.0
    max_updates: int = 64
    sync_interval: Milliseconds = 1_000.0
    dead_retention: Milliseconds = 600_000.0
    max_remembered: int = 8_192
    stall_slack: Milliseconds = 150.0
    digest_interval: Milliseconds = 10_000.0
    n_relays: int = 2
    announce_interval: Milliseconds = 60_000.0
    join_timeout: Milliseconds = 2_000.0
    join_propagation_delay: Milliseconds = 300.0
    drain_notice_timeout: Milliseconds = 1_500.0
    drain_relay_time: Milliseconds = 300.0
    max_successors: int = 3
