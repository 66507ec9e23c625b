"""Messages that carry a call between nodes; the reply is the call's outcome."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiagap_node.core.wire.codec import message

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds


@message(4)
@dataclass(frozen=True, slots=True)
class CallMessage:
    """A call for the backend server of the receiving node.

    Parameters
    ----------
    head : CallHead
        Head of the call; its deadline is the remaining time in milliseconds.
    body : bytes
        Complete body of the call.
    """

    head: CallHead
    body: bytes


@message(5)
@dataclass(frozen=True, slots=True)
class HomeCallMessage:
    """A call for the home of its ticket, the node that starts it at most once.

    Parameters
    ----------
    head : CallHead
        Head of the call; its deadline is the remaining time in milliseconds.
    body : bytes
        Complete body of the call.
    """

    head: CallHead
    body: bytes


@message(6)
@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link, sent by both sides.

    Parameters
    ----------
    node : str
        Name of the sender.
    incarnation : int
        Incarnation of the sender, which is higher after each restart.
    data_centre : str
        Data centre of the sender.
    address : str
        ``IP:PORT`` on which the sender accepts links.
    """

    node: str
    incarnation: int
    data_centre: str
    address: str


def head_to_wire(head: CallHead, now: Milliseconds) -> CallHead:
    """Return the head with the deadline replaced by the remaining time."""
    return replace(head, deadline=head.deadline - now)


def head_from_wire(head: CallHead, now: Milliseconds) -> CallHead:
    """Return the head with the remaining time replaced by a local deadline."""
    return replace(head, deadline=head.deadline + now)
