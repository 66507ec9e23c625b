"""Settings of membership, failure detection, digest and drain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of membership; with the defaults a dead node is detected within 3 s.

    Parameters
    ----------
    heartbeat_interval : float, default=900
        Milliseconds between two heartbeats to a neighbour.
    heartbeat_slack : float, default=150
        Milliseconds by which a heartbeat may be late before its sender is probed.
    probe_timeout : float, default=250
        Timeout in milliseconds of a probe.
    cross_probe_interval : float, default=2000
        Milliseconds between two rounds of probes of other data centres.
    suspicion_timeout : float, default=800
        Milliseconds in which a suspected node may refute before it is declared dead.
    n_rings : int, default=3
        Number of rings of each data centre, and so the number of nodes that monitor
        one node.
    n_indirect : int, default=2
        Number of nodes that are asked to probe a node that did not reply.
    n_cross_probes : int, default=2
        Number of other data centres probed in each round, in rotation.
    cross_probe_attempts : int, default=3
        Number of further nodes of a data centre that are probed before it is
        considered unreachable.
    flush_delay : float, default=50
        Milliseconds for which changes are batched before they are sent.
    max_updates : int, default=64
        Maximum number of members in one message.
    sync_interval : float, default=1000
        Milliseconds between two rounds that sync with nodes whose view differs, and
        try nodes that are considered dead.
    dead_retention : float, default=600_000
        Milliseconds for which the record of a dead or left member is kept.
    max_remembered : int, default=8192
        Maximum number of dropped members whose last incarnation is remembered, and of
        stored ticket hand-overs.
    stall_slack : float, default=150
        Milliseconds by which a timer may be late. If one is later, this process was
        paused, and timeouts that expired meanwhile are ignored.
    digest_interval : float, default=10_000
        Milliseconds between two checks by a relay of the digest of its data centre:
        the list of live members stored on the platform.
    n_relays : int, default=2
        Number of relays of each data centre, which are the nodes that write its digest.
    announce_interval : float, default=60_000
        Milliseconds between two checks by a relay of the announcements: the records
        that starting nodes write to the platform.
    join_timeout : float, default=2000
        Maximum time in milliseconds that a starting node waits until others know it.
    join_propagation_delay : float, default=300
        Milliseconds in which the record of a node reaches all others, once one of them
        has it.
    drain_notice_timeout : float, default=1500
        Maximum time in milliseconds that a leaving node spends on notifying others of
        one change of its record.
    drain_relay_time : float, default=300
        Milliseconds for which a node that has left still relays calls, until other
        nodes know which node holds its tickets.
    max_successors : int, default=3
        Maximum number of nodes to which a leaving node offers its tickets in turn.
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
