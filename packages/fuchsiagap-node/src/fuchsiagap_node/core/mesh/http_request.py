"""Requests as they come in from callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import httptools

from fuchsiagap.core.workspaces.keys import key_digest
from fuchsiagap_node.core.mesh.http_names import HOP_HEADERS

if TYPE_CHECKING:
    from fuchsiagap.core.routes.model import CallerLimits
    from fuchsiagap_node.core.mesh.http_names import HeaderNames


class Request(NamedTuple):
    """One whole request of a caller.

    Parameters
    ----------
    method, target : bytes
        Method and request target, as sent.
    host : str
        Value of the ``Host`` header.
    headers : bytes
        Header lines that go on to the backend server, each closed by CR LF.
    body : bytes
        Whole body.
    request_id : str
        Identifier of the attempt; empty if the caller sent none.
    wait : float or None
        Milliseconds that the caller waits; None if it did not say.
    keep_alive : bool
        Whether the connection may be used again.
    identity : tuple of bytes, default=()
        Header lines that name the caller.
    key : bytes, default=b""
        Digest of the caller's API key; empty if there is none, or more than one.
    """

    method: bytes
    target: bytes
    host: str
    headers: bytes
    body: bytes
    request_id: str
    wait: float | None
    keep_alive: bool
    identity: tuple[bytes, ...] = ()
    key: bytes = b""


class BadRequest(Exception):
    """The bytes are no request that can be served.

    Parameters
    ----------
    status : int
        Status of the answer.
    detail : str
        What was wrong and what was expected.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class RequestReader:
    """Cuts the bytes of one connection into requests.

    Parameters
    ----------
    names : HeaderNames
        Header names.
    limits : CallerLimits
        What a request may measure.
    """

    def __init__(self, names: HeaderNames, limits: CallerLimits) -> None:
        self._own = frozenset(
            name.lower()
            for name in (
                names.deadline,
                names.target,
                names.caller,
                names.key,
                names.workspace,
            )
        )
        self._key_name = names.key.lower()
        self._request_id = names.request_id.lower()
        self._deadline = names.deadline.lower()
        self._identifying = frozenset(name.lower() for name in names.identity)
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._done: list[Request] = []
        self._fault: BadRequest | None = None
        self.wants_continue = False
        self.in_message = False
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._lines: list[bytes] = []
        self._identity: list[bytes] = []
        self._keys: list[bytes] = []
        self._dropped: set[bytes] = set()
        self._host = ""
        self._id = ""
        self._wait: float | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._head_size = 0
        self._has_length = False

    def feed(self, data: bytes) -> list[Request]:
        """Take in bytes and return the requests that they complete.

        Raises
        ------
        BadRequest
            If they are no request; the connection has to be closed.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequest(400, "upgrade is not supported") from None
        except (httptools.HttpParserError, ValueError) as exc:
            raise self._fault or BadRequest(400, f"not HTTP/1.1: {exc}") from None
        if self._fault is not None:
            raise self._fault
        done, self._done = self._done, []
        return done

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self.in_message = True

    def on_url(self, part: bytes) -> None:
        """Take in a part of the request target."""
        self._target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header line."""
        self._count_head(len(name) + len(value) + 4)
        low = name.lower()
        if low == self._request_id:
            self._id = value.decode("latin-1")
        elif low == b"host":
            self._host = value.decode("latin-1")
        elif low in self._own:
            if low == self._deadline:
                self._wait = _milliseconds(value)
            elif low == self._key_name:
                self._keys.append(key_digest(value))
            return
        elif low in HOP_HEADERS:
            self._take_hop(low, value)
            return
        line = name + b": " + value + b"\r\n"
        if low in self._identifying:
            self._identity.append(low + b":" + value)
        self._lines.append(line)

    def _take_hop(self, low: bytes, value: bytes) -> None:
        if low == b"connection":
            tokens = (token.strip().lower() for token in value.split(b","))
            self._dropped.update(t for t in tokens if t not in HOP_HEADERS)
        elif low == b"expect" and value.lower() == b"100-continue":
            self.wants_continue = True
        elif low in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_body(self, part: bytes) -> None:
        """Take in a part of the body."""
        self._body_size += len(part)
        if self._body_size > self._limits.body_bytes:
            limit = self._limits.body_bytes
            self._fail(BadRequest(413, f"body above {limit} bytes"))
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Finish a request."""
        self.in_message = False
        target = self._target
        if not target.startswith(b"/"):
            self._fail(BadRequest(400, "the target has to begin with a slash"))
        lines = self._lines
        if self._dropped:
            lines = [
                x for x in lines if x.split(b":", 1)[0].lower() not in self._dropped
            ]
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        if self._has_length:
            lines.append(b"Content-Length: %d\r\n" % len(body))
        self._done.append(
            Request(
                self._parser.get_method(),
                target,
                self._host,
                b"".join(lines),
                body,
                self._id,
                self._wait,
                self._parser.should_keep_alive(),
                (*self._identity, *self._keys),
                self._keys[0] if len(self._keys) == 1 else b"",
            )
        )

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._limits.header_bytes:
            limit = self._limits.header_bytes
            self._fail(BadRequest(431, f"head above {limit} bytes"))

    def _fail(self, fault: BadRequest) -> None:
        self._fault = self._fault or fault
        raise ValueError(fault.detail)


def _milliseconds(value: bytes) -> float | None:
    try:
        wait = float(value)
    except ValueError:
        return None
    return wait if 0.0 <= wait < float("inf") else None
