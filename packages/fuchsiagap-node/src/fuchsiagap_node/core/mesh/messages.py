"""Messages that nodes exchange on their links."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from fuchsiagap.core.backend_queue.departures import Departure
from fuchsiagap.core.backend_queue.server_load import NO_SPEED
from fuchsiagap.core.freshness.store_view import NO_EPOCH
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest
from fuchsiagap.core.retries.rank_coverage import N_SAMPLING_KEYS
from fuchsiagap.core.watching.watcher_rank import UpdateSource

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.outcome import Outcome

# Version of the message format; incremented when an earlier release would misread
# messages.
PROTOCOL = 2
# Fullness in the summary of a request that made no nested calls.
NO_CALLS = -1.0
# Rate in the report of a server that names no limit.
NO_RATE = -1.0


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of a link, sent by both nodes.

    Parameters
    ----------
    node, incarnation : str
        Name of the node, and identifier of its current process.
    address : str
        ``IP:PORT`` on which the node accepts links.
    data_centre, service : str
        Data centre of the node, and service of the backend server on its host.
    compressed : bool
        Whether all later frames of the sender are compressed.
    protocol : int
        Version of the message format; nodes with another version are not linked.
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
    """State of a node and its backend server, sent on a new link and on changes.

    Parameters
    ----------
    instance : str
        Incarnation of the server that accepts requests; empty if none does.
    limit, load : int
        Concurrency limit, and number of requests that run or wait.
    offered : float
        Concurrency that the arriving requests would use if all ran.
    failing : float
        Share of recent requests that were refused or failed, from 0 to 1.
    warming : bool
        Whether the server is still warming up.
    version : int
        Version of the configuration that this node has adopted.
    update_source : UpdateSource
        How this node learns of newer versions.
    service_ms : int
        Service time of a request at the server, in milliseconds; 0 if unknown.
    epoch : int
        Epoch in the last answer of the store to this node; `NO_EPOCH` before.
    speed : int
        Time that work takes at the server at this moment, in percent of the usual;
        `NO_SPEED` if it does not state that.
    refusing : float
        Share of recent requests that the server refused although it stated free slots,
        from 0 to 1.
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
    speed: int = NO_SPEED
    refusing: float = 0.0


class Call(NamedTuple):
    """A request sent to a backend queue.

    Parameters
    ----------
    call_id : int
        Identifier of the call, unique on the link.
    instance : str
        The only incarnation of the server that may run it.
    head : bytes
        Request line and header lines, without the deadline and the empty line.
    body : bytes
        Complete body.
    time_left : float
        Milliseconds until the sender gives its caller a final response.
    slack : int
        Milliseconds until the response to the root request of its call tree is due;
        negative if it is overdue.
    rank : int
        Priority rank of the root request of its call tree.
    is_nested : bool
        Whether a backend server makes the call while it runs another request.
    in_retried_tree : bool
        Whether this request, or one above it in the call tree, was sent to a backend
        server before.
    is_retry : bool
        Whether this request itself was sent to a backend server before, so that it
        counts against the retry budget of the backend queue.
    sampling_key : int
        Random key of its call tree, by which retries are sampled; see
        `fuchsiagap.core.retries.backend_budget`.
    idempotent : bool
        Whether it may be cancelled and retried.
    request_id : str
        Request identifier from the caller; one per attempt.
    route : str
        Name of the route.
    fingerprint : bytes
        Digest shared by all attempts; see `fuchsiagap.core.quarantine.fingerprint`.
    """

    call_id: int
    instance: str
    head: bytes
    body: bytes
    time_left: float
    slack: int
    rank: int
    is_nested: bool
    in_retried_tree: bool
    is_retry: bool
    sampling_key: int
    idempotent: bool
    request_id: str
    route: str
    fingerprint: bytes


class DownstreamSummary(NamedTuple):
    """Summary of the nested calls that a call made.

    Parameters
    ----------
    fullness : float
        Fullness of the services that its route calls; `NO_CALLS` if it calls none.
    calls : int
        Number of nested calls, including the calls that these made.
    failed : bool, default=False
        Whether the server failed because one of the nested calls did.
    covered_keys : int, default=N_SAMPLING_KEYS
        Number of the lowest sampling keys whose call trees, of the rank of the call,
        the retry budgets of the called services cover.
    """

    fullness: float
    calls: int
    failed: bool = False
    covered_keys: int = N_SAMPLING_KEYS


class Reply(NamedTuple):
    """Outcome of a call, with the load of the backend queue.

    Parameters
    ----------
    call_id : int
        Identifier of the call.
    outcome : Answered, NotRun or MayHaveRun
        Outcome of the call.
    load : int
        Number of requests that run or wait in the backend queue.
    offered : float
        Concurrency that the requests arriving there would use if all ran.
    downstream : DownstreamSummary
        Summary of its nested calls.
    speed : int, default=NO_SPEED
        As in `Status`.
    """

    call_id: int
    outcome: Outcome
    load: int
    offered: float
    downstream: DownstreamSummary
    speed: int = NO_SPEED


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a call.

    Parameters
    ----------
    call_id : int
        Identifier of the call.
    """

    call_id: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests a `Pong`, to distinguish an unresponsive node from an idle one."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a `Ping`."""


@dataclass(frozen=True, slots=True)
class ConfigQuery:
    """Requests the active configuration of the other node."""


@dataclass(frozen=True, slots=True)
class EncodedConfig:
    """A configuration in the encoding of the platform.

    Parameters
    ----------
    epoch, revision : int
        Position in the history of the store.
    text : bytes
        Encoded content.
    """

    epoch: int
    revision: int
    text: bytes


@dataclass(frozen=True, slots=True)
class Cleared:
    """Fingerprints of requests that were answered, and so crash no servers."""

    fingerprints: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class StalenessQuery:
    """Requests the staleness of the other node's configuration.

    Parameters
    ----------
    query_id : int
        Identifier of the query, repeated in the reply.
    """

    query_id: int


@dataclass(frozen=True, slots=True)
class StalenessReply:
    """Staleness of a node's configuration.

    Parameters
    ----------
    query_id : int
        Identifier of the query.
    version : int
        Version of its configuration.
    age : float
        Milliseconds between the last time at which this version was known to be the
        newest and the time at which the reply was sent.
    """

    query_id: int
    version: int
    age: float


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Requests tokens from the owner of a workspace's quota.

    Parameters
    ----------
    query_id : int
        Identifier of the query, repeated in the reply.
    workspace : str
        Name of the workspace.
    tokens : int
        Number of tokens.
    """

    query_id: int
    workspace: str
    tokens: int


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens granted by the owner of a quota.

    Parameters
    ----------
    query_id : int
        Identifier of the query.
    workspace : str
        Name of the workspace.
    tokens : int
        Number of tokens.
    wait : float
        Milliseconds after which more may be available; 0 if all were granted.
    is_owner : bool
        Whether the node owns the quota; other nodes grant no tokens.
    """

    query_id: int
    workspace: str
    tokens: int
    wait: float
    is_owner: bool


@dataclass(frozen=True, slots=True)
class NoticeReport:
    """Statement of a backend server about itself, as its node received it.

    Parameters
    ----------
    instance : str
        Incarnation of the server.
    rate : float
        Requests per second that it accepts from all nodes; `NO_RATE` for no limit.
    is_leaving : bool
        Whether it is leaving.
    """

    instance: str
    rate: float
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class DepartureReceipt:
    """Confirms that a `Departure` has been received.

    Parameters
    ----------
    instance : str
        Identifier of the server that leaves.
    """

    instance: str


Message: TypeAlias = (
    Hello
    | Status
    | Call
    | Reply
    | Cancel
    | Ping
    | Pong
    | ConfigQuery
    | EncodedConfig
    | Crash
    | HeldRequest
    | Cleared
    | StalenessQuery
    | StalenessReply
    | TokenRequest
    | TokenGrant
    | NoticeReport
    | Departure
    | DepartureReceipt
)
