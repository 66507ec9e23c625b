"""Messages of the membership protocol between nodes."""

from __future__ import annotations

from dataclasses import dataclass

from fuchsiagap.core.membership.member import Member
from fuchsiagap_node.core.wire.codec import message


@message(40, Member=Member)
@dataclass(frozen=True, slots=True)
class Ping:
    """Probe of a node; the reply is an `Ack`.

    Parameters
    ----------
    target : str
        Name of the probed node; another one may listen at its address by now.
    updates : tuple of Member
        Records for the target, above all claims about itself that it must refute.
    """

    target: str
    updates: tuple[Member, ...] = ()


@message(41, Member=Member)
@dataclass(frozen=True, slots=True)
class Ack:
    """Reply to a probe.

    Parameters
    ----------
    node : str
        Name of the replying node.
    hash : int
        Hash of its view.
    updates : tuple of Member
        Records for the probing node, above all claims about itself that it must refute.
    """

    node: str
    hash: int
    updates: tuple[Member, ...] = ()


@message(42)
@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request to probe another node; the reply is a `PingReport`.

    Parameters
    ----------
    target, address : str
        Name and ``IP:PORT`` of the node to probe.
    """

    target: str
    address: str


@message(43)
@dataclass(frozen=True, slots=True)
class PingReport:
    """Result of an indirect probe.

    Parameters
    ----------
    reached : bool
        Whether the probed node replied.
    """

    reached: bool


@message(44, Member=Member)
@dataclass(frozen=True, slots=True)
class Updates:
    """Records that changed; a notification.

    Parameters
    ----------
    members : tuple of Member
        Latest record of each member.
    """

    members: tuple[Member, ...]


@message(45)
@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Request for the records in which two views differ; the reply is a `SyncReply`.

    Parameters
    ----------
    digest : tuple of int
        Hash of each bucket of the requesting node's view.
    max_members : int
        Limit on the records of the reply. It has only whole buckets, and at least one
        even if that exceeds the limit.
    """

    digest: tuple[int, ...]
    max_members: int


@message(46, Member=Member)
@dataclass(frozen=True, slots=True)
class SyncReply:
    """Records of buckets that differ.

    Parameters
    ----------
    node : str
        Name of the replying node.
    buckets : tuple of int
        Buckets that the reply covers; the requesting node sends back its newer records
        in them.
    members : tuple of Member
        All records in these buckets.
    n_differing : int
        Total number of buckets that differ.
    """

    node: str
    buckets: tuple[int, ...]
    members: tuple[Member, ...]
    n_differing: int


@message(47, Member=Member)
@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender accepts no new work; a notification on all links at once.

    Parameters
    ----------
    member : Member
        The sender's record of itself.
    """

    member: Member


@message(48, Member=Member)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Regular proof that the sender is alive; a notification.

    Parameters
    ----------
    hash : int
        Hash of the sender's view.
    updates : tuple of Member
        Records for the receiver, above all claims about itself that it must refute.
    """

    hash: int
    updates: tuple[Member, ...] = ()
