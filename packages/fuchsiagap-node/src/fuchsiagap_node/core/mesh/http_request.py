"""Parser of HTTP/1.1 requests from callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import httptools

from fuchsiagap.core.workspaces.keys import key_digest
from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.body_parts import BodyParts
from fuchsiagap_node.core.mesh.http_names import HOP_HEADERS

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.routes.model import CallerLimits
    from fuchsiagap_node.core.mesh.http_names import HeaderNames


class Request(NamedTuple):
    """One complete request of a caller.

    Parameters
    ----------
    method, target : bytes
        Method and request target, as sent.
    host : str
        Value of the ``Host`` header.
    headers : bytes
        Header lines forwarded to the backend server, each terminated by CR LF.
    body : bytes
        Complete body.
    request_id : str
        Identifier of the attempt; empty if the caller sent none.
    wait : float or None
        Milliseconds that the caller waits; None if not stated.
    keep_alive : bool
        Whether the connection may be reused.
    identity : tuple of bytes, default=()
        Header lines and key digests that identify the caller.
    key : bytes, default=b""
        Digest of the caller's API key; empty if there is none, or more than one.
    n_held : int, default=0
        Bytes that its reader has counted in the memory for bodies.
    is_refused : bool, default=False
        Whether there is no memory for its body, which is then empty.
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
    n_held: int = 0
    is_refused: bool = False


class BadRequest(Exception):
    """The data is not a valid request.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    detail : str
        What was found and what was expected.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class RequestReader:
    """Incremental parser of the requests on one connection.

    Parameters
    ----------
    names : HeaderNames
        Header names.
    limits : CallerLimits
        Size limits of a request.
    memory : BodyMemory, optional
        Memory for bodies; by default unlimited. A request whose body does not fit is
        returned without it as soon as that is known, and the body is skipped.
    rank_of : callable, optional
        Returns the priority rank of a request, given its host, target and identifier.

    Attributes
    ----------
    wants_continue : bool
        Whether the caller waits for ``100 Continue`` before it sends the body.
    in_message : bool
        Whether a request has begun and is not complete.
    rejected : BadRequest or None
        Error in the data behind the last completed requests.
    """

    def __init__(
        self,
        names: HeaderNames,
        limits: CallerLimits,
        memory: BodyMemory | None = None,
        rank_of: Callable[[str, bytes, str], int] | None = None,
    ) -> None:
        self._memory = memory or BodyMemory()
        self._rank_of = rank_of or _best_rank
        self._n_held = 0
        self._node_headers = frozenset(
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
        self._request_id_name = names.request_id.lower()
        self._deadline_name = names.deadline.lower()
        self._identity_names = frozenset(name.lower() for name in names.identity)
        self._limits = limits
        self._body = BodyParts()
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[Request] = []
        self._error: BadRequest | None = None
        # Bytes since the parser last completed a part of a message.
        self._n_pending = 0
        self._has_progress = False
        self.wants_continue = False
        self.in_message = False
        self.rejected: BadRequest | None = None
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._lines: list[bytes] = []
        self._identity: list[bytes] = []
        self._keys: list[bytes] = []
        self._hop_names: set[bytes] = set()
        self._host = ""
        self._id = ""
        self._wait: float | None = None
        if self._body.size:
            self._body.clear()
        self._n_body_bytes = 0
        self._head_size = 0
        self._has_length = False
        self._length: int | None = None
        self._rank = 0
        self._is_refused = False
        self._memory.release(self._n_held)
        self._n_held = 0

    def feed(self, data: bytes) -> list[Request]:
        """Parse data and return the requests that it completes.

        Parameters
        ----------
        data : bytes
            Received bytes.

        Raises
        ------
        BadRequest
            If the data is not a valid request; the connection has to be closed. If
            requests are complete before it, they are returned and `rejected` is set.
        """
        if self.rejected is not None:
            raise self.rejected
        try:
            self._parse(data)
        except BadRequest as exc:
            if not self._completed:
                raise
            self.rejected = exc
        completed, self._completed = self._completed, []
        return completed

    def _parse(self, data: bytes) -> None:
        if self._has_progress:
            self._n_pending, self._has_progress = 0, False
        try:
            self._parser.feed_data(data)
            if not self._has_progress:
                self._check_pending(len(data))
        except httptools.HttpParserUpgrade:
            raise BadRequest(400, "upgrade is not supported") from None
        except (httptools.HttpParserError, ValueError) as exc:
            raise self._error or BadRequest(
                400, f"malformed HTTP/1.1 request: {exc}"
            ) from None
        if self._error is not None:
            raise self._error

    def _check_pending(self, n_bytes: int) -> None:
        """Fail if a part is too long that the parser has not completed yet."""
        self._n_pending += n_bytes
        if self._n_pending > self._limits.header_bytes:
            self._fail_head_too_long()

    def close(self) -> None:
        """Drop what has been read, and the parser, which refers back to this reader."""
        self._reset()
        for req in self._completed:
            self._memory.release(req.n_held)
        del self._parser

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset()
        self.in_message = True

    def on_url(self, part: bytes) -> None:
        """Append to the request target."""
        self._target += part
        self._add_head_size(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process one header."""
        self._add_head_size(len(name) + len(value) + 4)
        lower_name = name.lower()
        if lower_name == self._request_id_name:
            self._id = value.decode("latin-1")
        elif lower_name == b"host":
            self._host = value.decode("latin-1")
        elif lower_name in self._node_headers:
            if lower_name == self._deadline_name:
                self._wait = _parse_ms(value)
            elif lower_name == self._key_name:
                self._keys.append(key_digest(value))
            return
        elif lower_name in HOP_HEADERS:
            self._handle_hop_header(lower_name, value)
            return
        line = name + b": " + value + b"\r\n"
        if lower_name in self._identity_names:
            self._identity.append(lower_name + b":" + value)
        self._lines.append(line)

    def _handle_hop_header(self, lower_name: bytes, value: bytes) -> None:
        if lower_name == b"connection":
            tokens = (token.strip().lower() for token in value.split(b","))
            self._hop_names.update(t for t in tokens if t not in HOP_HEADERS)
        elif lower_name == b"expect" and value.lower() == b"100-continue":
            self.wants_continue = True
        elif lower_name in (b"content-length", b"transfer-encoding"):
            self._has_length = True
            if lower_name == b"content-length" and value.isdigit():
                self._length = int(value)

    def on_headers_complete(self) -> None:
        """Reserve memory for the body, or refuse the request."""
        self._has_progress = True
        if not self._has_length:
            return
        self._rank = self._rank_of(self._host, self._target, self._id)
        if self._length is None or self._length > self._limits.body_bytes:
            return
        self._hold(self._length)

    def _hold(self, n_bytes: int) -> None:
        """Reserve memory for a body or a part of it, or refuse the request."""
        if self._memory.admits(n_bytes, self._rank, self._n_held):
            self._memory.grow(self._n_held, n_bytes)
            self._n_held += n_bytes
            return
        self._is_refused = True
        self._memory.release(self._n_held)
        self._n_held = 0
        self._body.clear()
        self._complete()

    def on_body(self, part: bytes) -> None:
        """Append to the body; fail above the size limit."""
        self._has_progress = True
        self._n_body_bytes += len(part)
        if self._n_body_bytes > self._limits.body_bytes:
            limit = self._limits.body_bytes
            self._fail(BadRequest(413, f"body exceeds {limit} bytes"))
        if self._length is None and not self._is_refused:
            self._hold(len(part))
        is_too_large = self._length is not None and (
            self._length > self._limits.body_bytes
        )
        if not self._is_refused and not is_too_large:
            self._body.append(part)
            if self._length is None and self._body.has_too_small_parts:
                self._fail(BadRequest(400, "body in too many small chunks"))

    def on_message_complete(self) -> None:
        """Complete a request."""
        self._has_progress = True
        self.in_message = False
        if not self._is_refused:
            self._complete()

    def _complete(self) -> None:
        target = self._target
        if not target.startswith(b"/"):
            self._fail(BadRequest(400, "request target does not begin with a slash"))
        lines = self._lines
        if self._hop_names:
            lines = [
                x for x in lines if x.split(b":", 1)[0].lower() not in self._hop_names
            ]
        body = self._body.take()
        if self._has_length:
            lines.append(b"Content-Length: %d\r\n" % len(body))
        self._completed.append(
            Request(
                self._parser.get_method(),
                target,
                self._host,
                b"".join(lines),
                body,
                self._id,
                self._wait,
                # A caller that waits to be told to continue may not send the body.
                self._parser.should_keep_alive()
                and not (self._is_refused and self.wants_continue),
                (*self._identity, *self._keys),
                self._keys[0] if len(self._keys) == 1 else b"",
                self._n_held,
                self._is_refused,
            )
        )
        # Whoever takes the request releases the memory.
        self._n_held = 0
        self._lines = []

    def _add_head_size(self, size: int) -> None:
        self._has_progress = True
        self._head_size += size
        if self._head_size > self._limits.header_bytes:
            self._fail_head_too_long()

    def _fail_head_too_long(self) -> None:
        limit = self._limits.header_bytes
        self._fail(BadRequest(431, f"request head exceeds {limit} bytes"))

    def _fail(self, error: BadRequest) -> None:
        self._error = self._error or error
        raise ValueError(error.detail)


def _best_rank(_: str, __: bytes, ___: str) -> int:
    """Return the best rank for each request."""
    return 0


def _parse_ms(value: bytes) -> float | None:
    try:
        wait = float(value)
    except ValueError:
        return None
    return wait if 0.0 <= wait < float("inf") else None
