"""Instances of services, and the settings of the router."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class Instance:
    """A backend server and the node that serves it.

    Parameters
    ----------
    node : str
        Name of the node; unique over all data centres.
    incarnation : int
        Number of the node's process; higher after each restart.
    address : str
        ``IP:PORT`` at which the node accepts connections of other nodes.
    data_centre : str
        Data centre in which it runs.
    service : ServiceName
        The service of the backend server.
    leaving : bool, default=False
        Whether it accepts no new requests.
    """

    node: str
    incarnation: int
    address: str
    data_centre: str
    service: ServiceName
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Settings of the router.

    Parameters
    ----------
    local_subset : int, default=12
        Maximum number of instances of one service in the own data centre that the node
        connects to.
    remote_subset : int, default=6
        Maximum number of instances of one service in all other data centres together.
    update_pause : float, default=100.0
        Minimum milliseconds between two updates of the member list of a large fleet.
    spill_utilisation : float, default=0.9
        Utilisation of the least loaded local instance above which instances in other
        data centres are considered.
    spill_gain : float, default=0.8
        A remote instance is chosen only if its utilisation is at most this share of
        that of the least loaded local instance.
    own_utilisation : float, default=0.5
        Utilisation up to which the node's own backend server is chosen without
        comparison, which saves a network hop.
    load_memory : float, default=2000.0
        Milliseconds after which a load report is ignored.
    assumed_limit : int, default=16
        Concurrency limit of an instance that has not reported one.
    slow_start : float, default=10000.0
        Milliseconds over which the weight of a new incarnation grows to 1.
    slow_start_floor : float, default=0.1
        Weight at the beginning of the slow start, above 0 and at most 1.
    failures_to_eject : int, default=5
        Consecutive failures after which an instance is ejected.
    silence : float, default=1000.0
        Milliseconds without any reply after which an expired deadline counts as a
        failure of the instance.
    ejection : float, default=2000.0
        Milliseconds of the first ejection; doubled with each further one.
    ejection_max : float, default=30000.0
        Maximum milliseconds of an ejection.
    ejected_share_max : float, default=0.34
        Maximum share of the instances of a service that are ejected at one time.
    """

    local_subset: int = 12
    remote_subset: int = 6
    update_pause: Milliseconds = 100.0
    spill_utilisation: float = 0.9
    spill_gain: float = 0.8
    own_utilisation: float = 0.5
    load_memory: Milliseconds = 2_000.0
    assumed_limit: int = 16
    slow_start: Milliseconds = 10_000.0
    slow_start_floor: float = 0.1
    failures_to_eject: int = 5
    silence: Milliseconds = 1_000.0
    ejection: Milliseconds = 2_000.0
    ejection_max: Milliseconds = 30_000.0
    ejected_share_max: float = 0.34
