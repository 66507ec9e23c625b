"""Interfaces of a node to external systems.

`edges` has the implementations on real transports; tests and benchmarks use fakes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Answered, Refused, Unknown
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """The link is closed; no more frames can be sent or received.

    Parameters
    ----------
    detail : str
        Reason, for error messages.
    """

    detail: str = ""


@dataclass(frozen=True, slots=True)
class DialFailed:
    """A link could not be opened.

    Parameters
    ----------
    address : str
        ``IP:PORT`` that was dialled.
    detail : str
        Reason, for error messages.
    """

    address: str
    detail: str = ""


class Link(Protocol):
    """Bidirectional link to another node that transfers whole frames in order."""

    async def send(self, frame: bytes) -> LinkClosed | None:
        """Send a frame; return `LinkClosed` if it may not arrive.

        Several tasks may send concurrently. A cancelled call sends the frame completely
        or not at all.
        """

    async def receive(self) -> bytes | LinkClosed:
        """Wait for the next frame."""

    async def aclose(self) -> None:
        """Close the link."""


class Dial(Protocol):
    """Function that opens a link to the node at an address."""

    async def __call__(self, address: str) -> Link | DialFailed:
        """Open a link to ``IP:PORT``."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object stored on the platform.

    Parameters
    ----------
    path : str
        Absolute path, for example ``/settings/salt-fog``.
    version : int
        Version assigned by the platform; it increases with each change of any object.
    value : bytes
        Content of up to a megabyte; empty for a tombstone.
    deleted : bool
        Whether the object was deleted at this version.
    """

    path: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Missing:
    """No object has ever existed at the path.

    Parameters
    ----------
    path : str
        Absolute path.
    """

    path: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional update found another version.

    Parameters
    ----------
    current : StoredObject or None
        The current object; None if there is none.
    """

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform did not respond or returned an error.

    Parameters
    ----------
    maybe_applied : bool
        Whether a requested change may have taken effect.
    detail : str
        Reason, for error messages.
    """

    maybe_applied: bool
    detail: str = ""


PutResult: TypeAlias = StoredObject | Conflict | PlatformUnavailable


class Platform(Protocol):
    """Object API of the platform."""

    async def get(self, path: str) -> StoredObject | Missing | PlatformUnavailable:
        """Read one object; a deleted object is returned as a tombstone."""

    async def list(self, prefix: str) -> tuple[StoredObject, ...] | PlatformUnavailable:
        """Read all objects under a prefix, including tombstones."""

    async def put(
        self, path: str, value: bytes, expected_version: int | None
    ) -> PutResult:
        """Write an object if its version is the expected one.

        Version 0 means that no object exists yet; None writes unconditionally.
        """

    async def delete(self, path: str, expected_version: int | None) -> PutResult:
        """Replace an object with a tombstone, under the same condition as `put`."""

    def watch(
        self, prefix: str, after_version: int
    ) -> AsyncIterator[StoredObject | PlatformUnavailable]:
        """Yield each change under a prefix with a version above `after_version`.

        Ends after a `PlatformUnavailable`; the caller starts it again.
        """


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Load reported by the backend server, which may be outdated or wrong.

    Parameters
    ----------
    healthy : bool
        Reported health.
    slots : int
        Reported number of calls that it can run concurrently; 0 if not reported.
    in_flight : int
        Reported number of running calls.
    draining : bool
        Whether it accepts no new calls.
    """

    healthy: bool
    slots: int
    in_flight: int
    draining: bool


class BackendServer(Protocol):
    """The backend server on the host of the node."""

    async def send(
        self, head: CallHead, body: bytes, remaining: Milliseconds
    ) -> Answered | Refused | Unknown:
        """Run one call. Cancelling the task cancels the call.

        `remaining` is the time until the deadline of the call, in milliseconds.

        Returns `Refused` only if the call certainly was not sent, or if the backend
        server reports by ``fuchsiagap-not-run`` that it did not run the call.
        """

    async def load(self) -> BackendLoad | None:
        """Request health and load; return None if there is no valid response."""


class Peers(Protocol):
    """Requests and notifications to other nodes, by address."""

    def drop(self, address: str) -> None:
        """Close the link to a dead node; pending requests on it end with `LinkLost`."""

    def linked(self) -> tuple[str, ...]:
        """Return the addresses of all open links."""

    async def notify_linked(self, message: object) -> None:
        """Send a message without a reply on every open link."""

    async def ask(self, address: str, message: object) -> object:
        """Send a request message and wait for its reply; return `LinkLost` without one.

        Cancelling the task cancels the request at the other node.
        """

    async def notify(self, address: str, message: object) -> None:
        """Send a message without a reply; it may be lost."""


@dataclass(frozen=True, slots=True)
class LinkLost:
    """No reply arrived, since the link failed or could not be opened.

    Parameters
    ----------
    sent : bool
        Whether the message may have reached the other node.
    detail : str
        Reason, for error messages.
    """

    sent: bool
    detail: str = ""
