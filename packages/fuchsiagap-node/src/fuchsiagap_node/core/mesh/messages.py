"""What nodes tell each other on their links."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from fuchsiagap.core.freshness.store_view import NO_EPOCH
from fuchsiagap.core.quarantine.quarantine import Crash, Held
from fuchsiagap.core.watching.watcher_rank import UpdateSource

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.outcome import Outcome

# Rises where nodes of an earlier release would misunderstand messages.
PROTOCOL = 2
# Fullness below a request that made no calls.
NO_CALLS = -1.0


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of the dialling node, and of the node that was dialled.

    Parameters
    ----------
    node, incarnation : str
        Name of the node, and what tells this process from an earlier one.
    address : str
        Where the node takes links.
    data_centre, service : str
        Where it stands, and the service of the backend server beside it.
    compressed : bool
        Whether all that this end sends from here on is compressed.
    protocol : int
        What the messages mean; nodes of another one are not linked.
    """

    node: str
    incarnation: str
    address: str
    data_centre: str
    service: str
    compressed: bool = False
    protocol: int = PROTOCOL


@dataclass(frozen=True, slots=True)
class Status:
    """What a door says of its backend server, when it changes and with answers.

    Parameters
    ----------
    instance : str
        Incarnation that takes requests; empty if none does.
    limit, load : int
        Places, and requests that run or wait.
    offered : float
        Places that the requests that arrive would fill.
    failing : float
        Share of recent requests that ended refused or broken.
    warming : bool
        Whether the server is in its warm-up.
    version : int
        Version of the configuration that this node has adopted.
    update_source : UpdateSource
        How this node hears of newer ones.
    service_ms : int
        Milliseconds that a request is at the server; 0 if not known.
    epoch : int
        Epoch of the store, as this node last heard from it; `NO_EPOCH` before.
    """

    instance: str
    limit: int
    load: int
    offered: float
    failing: float
    warming: bool
    version: int
    update_source: UpdateSource = UpdateSource.PEERS
    service_ms: int = 0
    epoch: int = NO_EPOCH


class Call(NamedTuple):
    """A request on its way to a door.

    Parameters
    ----------
    call_id : int
        Number, unique on the link.
    instance : str
        Incarnation that alone may run it.
    head : bytes
        Request line and header lines, but for the deadline and the empty line.
    body : bytes
        Whole body.
    left : float
        Milliseconds until the sender gives its caller a final answer.
    slack : int
        Milliseconds in which an answer to the request at the root of its tree is in
        time; negative once it is late.
    rank : int
        Priority of the request at the root of the tree that this one belongs to.
    is_call : bool
        Whether a backend server makes it while it runs another request.
    repeated : bool
        Whether it, or a request above it, was handed to a backend server before.
    again : bool
        Whether it itself was, so that the door has to pay for it.
    lot : int
        What its tree has drawn; see `fuchsiagap.core.retries.shares`.
    idempotent : bool
        Whether it may be cancelled and repeated.
    request_id : str
        Identifier of the caller's attempt.
    route : str
        Name of its route.
    fingerprint : bytes
        What its repeats share; see `fuchsiagap.core.quarantine.fingerprint`.
    """

    call_id: int
    instance: str
    head: bytes
    body: bytes
    left: float
    slack: int
    rank: int
    is_call: bool
    repeated: bool
    again: bool
    lot: int
    idempotent: bool
    request_id: str
    route: str
    fingerprint: bytes


class Below(NamedTuple):
    """What a call led to.

    Parameters
    ----------
    fullness : float
        Fullness of the services that requests of its route call; `NO_CALLS` without.
    calls : int
        Calls that it made, with those that they made.
    failed : bool, default=False
        Whether its server failed since one of these did.
    """

    fullness: float
    calls: int
    failed: bool = False


class Reply(NamedTuple):
    """What became of a call, with the load of the door.

    Parameters
    ----------
    call_id : int
        Number of the call.
    outcome : Answered, NotRun or MayHaveRun
        What became of it.
    load : int
        Requests that run or wait at the door.
    offered : float
        Places that the requests that arrive at the door would fill.
    below : Below
        What it led to.
    """

    call_id: int
    outcome: Outcome
    load: int
    offered: float
    below: Below


@dataclass(frozen=True, slots=True)
class Cancel:
    """The sender no longer wants a call."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a `Pong`, so that silence can be told from idleness."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a `Ping`."""


@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Asks for the configuration that the other node has adopted."""


@dataclass(frozen=True, slots=True)
class ConfigText:
    """The configuration as the platform holds it.

    Parameters
    ----------
    epoch, revision : int
        Where it stands in the history of the store.
    text : bytes
        Its content, encoded as the platform encodes it.
    """

    epoch: int
    revision: int
    text: bytes


@dataclass(frozen=True, slots=True)
class Cleared:
    """Requests that were answered and so crash no servers, by their fingerprints."""

    fingerprints: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class AgeWanted:
    """Asks how old the other node's knowledge of the configuration is.

    Parameters
    ----------
    question : int
        Number that the answer repeats.
    """

    question: int


@dataclass(frozen=True, slots=True)
class Age:
    """How old a node's knowledge of the configuration is.

    Parameters
    ----------
    question : int
        Number of the question.
    version : int
        Version that was the newest.
    age : float
        Milliseconds since it was, at the moment of the answer.
    """

    question: int
    version: int
    age: float


@dataclass(frozen=True, slots=True)
class TokensWanted:
    """Asks the owner of a workspace's quota for tokens.

    Parameters
    ----------
    question : int
        Number that the answer repeats.
    workspace : str
        Name of the workspace.
    tokens : int
        How many.
    """

    question: int
    workspace: str
    tokens: int


@dataclass(frozen=True, slots=True)
class TokensGranted:
    """What the owner of a quota grants.

    Parameters
    ----------
    question : int
        Number of the question.
    workspace : str
        Name of the workspace.
    tokens : int
        How many.
    wait : float
        Milliseconds after which more may be found; 0 if all are granted.
    is_owner : bool
        Whether the node owns the quota; the others grant none.
    """

    question: int
    workspace: str
    tokens: int
    wait: float
    is_owner: bool


Message: TypeAlias = (
    Hello
    | Status
    | Call
    | Reply
    | Cancel
    | Ping
    | Pong
    | ConfigWanted
    | ConfigText
    | Crash
    | Held
    | Cleared
    | AgeWanted
    | Age
    | TokensWanted
    | TokensGranted
)
