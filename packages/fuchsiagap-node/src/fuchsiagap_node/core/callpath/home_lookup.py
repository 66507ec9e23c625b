"""Finds the home of a ticket, and maps replies of a home to outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap_node.core.ports import LinkLost

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.tickets.ticket import Ticket
    from fuchsiagap_node.core.state import NodeState


@dataclass(frozen=True, slots=True)
class LocalHome:
    """The node itself is the home of the ticket."""


@dataclass(frozen=True, slots=True)
class RemoteHome:
    """Another node is the home of the ticket.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of its peer listener.
    """

    address: str


@dataclass(frozen=True, slots=True)
class UnknownHome:
    """No known node is the home of the ticket.

    Parameters
    ----------
    reason : Reason
        `Reason.HOME_GONE`, or `Reason.TICKET_FORGOTTEN` if this node would be the home
        but has no records of the ticket.
    """

    reason: Reason


# Maximum number of hand-overs followed from one successor to the next. Nodes that have
# left stay in the member list for a limited time, so longer chains are not expected.
_MAX_HAND_OVERS = 8
Home: TypeAlias = LocalHome | RemoteHome | UnknownHome


def find_home(state: NodeState, ticket: Ticket) -> Home:
    """Return the home of a ticket.

    Parameters
    ----------
    state : NodeState
        The node that looks it up.
    ticket : Ticket
        The ticket.

    Returns
    -------
    LocalHome, RemoteHome or UnknownHome
        Where to send a call with the ticket.
    """
    if state.tickets.window_of(ticket) is not None:
        return LocalHome()
    view = state.membership
    name = view.successor_of(ticket.node, ticket.incarnation)
    if not name and ticket.node == state.node:
        return UnknownHome(Reason.TICKET_FORGOTTEN)
    member = view.get(name or ticket.node)
    for _ in range(_MAX_HAND_OVERS):
        if member is None or member.state is not MemberState.LEFT:
            break
        # A node that leaves hands over its adopted windows together with its own.
        member = view.get(member.successor)
    if member is None:
        return UnknownHome(Reason.HOME_GONE)
    if member.node == state.node:
        return UnknownHome(Reason.TICKET_FORGOTTEN)
    return RemoteHome(member.address)


def outcome_of_relay(head: CallHead, reply: object, *, first_copy: bool) -> Outcome:
    """Return the outcome of a call that was sent to its home.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    reply : object
        Result of `Peers.ask`.
    first_copy : bool
        Whether the caller marked the request as its first copy.

    Returns
    -------
    Answered, Refused or Unknown
        If the call could not be sent, `Refused` for a first copy and `Unknown`
        otherwise, since an earlier copy may have run.
    """
    if isinstance(reply, LinkLost) and not reply.sent:
        if first_copy:
            reason = Reason.HOME_GONE
            return Refused(reason, allowance=head.allowance, detail=reply.detail)
        return Unknown(Reason.HOME_GONE, head.allowance, detail=reply.detail)
    return outcome_of_reply(reply)


def outcome_of_reply(reply: object) -> Outcome:
    """Return the reply of a home if it is an outcome, or else `Unknown`."""
    if isinstance(reply, (Answered, Refused, Unknown)):
        return reply
    detail = (
        reply.detail
        if isinstance(reply, LinkLost)
        else f"unexpected reply: {reply!r:.60}"
    )
    return Unknown(Reason.CONNECTION_LOST, detail=detail)
