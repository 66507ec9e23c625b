"""Parser of HTTP/1.1 responses from backend servers and from the platform."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, NoReturn

import httptools

from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.body_parts import BodyParts
from fuchsiagap_node.core.mesh.http_names import HOP_HEADERS
from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.http_names import HeaderNames

# A status line within a header or a reason phrase: the response was truncated there,
# and the next one follows.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")

# Bytes that no reason phrase has (RFC 9112, 4).
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

# Range of HTTP statuses (RFC 9110, 15). `_SWITCHING_PROTOCOLS` is valid only as the
# response to a request for another protocol, which no request here makes.
_MIN_STATUS, _MAX_STATUS = 100, 599
_SWITCHING_PROTOCOLS = 101

# Versions whose messages have the framing that this parser reads.
_VERSIONS = ("1.0", "1.1")

# Share of the memory for bodies that a body of unknown length may take.
_MAX_UNSTATED_SHARE = 0.5


class Response(NamedTuple):
    """One complete HTTP response.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : bytes
        Reason phrase.
    headers : bytes
        End-to-end header lines, each terminated by CR LF.
    body : bytes
        Complete body.
    request_id : str
        Echoed request identifier; empty if there was none.
    not_run : bool
        Whether the backend server states that it did not run the request.
    instance : str
        Incarnation that answered; empty if not stated.
    load : bytes
        Load report of the backend server; empty if there was none.
    rate_limit, leaving : bytes or None
        Values of the headers by which a backend server limits its requests and
        announces that it is leaving; None without the header. Values of several
        headers of one name are joined by commas.
    idle_timeout : float or None
        Idle timeout of the server in milliseconds; None if not stated.
    keep_alive : bool
        Whether the connection may be reused.
    """

    status: int
    reason: bytes
    headers: bytes
    body: bytes
    request_id: str = ""
    not_run: bool = False
    instance: str = ""
    load: bytes = b""
    rate_limit: bytes | None = None
    leaving: bytes | None = None
    idle_timeout: float | None = None
    keep_alive: bool = True


class BadResponse(Exception):
    """The data is not a complete HTTP response.

    Parameters
    ----------
    detail : str
        What was found and what was expected.
    part : str, default=""
        Part of a response that exceeds its limit; empty if none does.
    """

    def __init__(self, detail: str, part: str = "") -> None:
        super().__init__(detail)
        self.part = part


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of a response, apart from the memory for its body.

    Parameters
    ----------
    line_bytes : int
        Maximum size in bytes of the reason phrase, of one header, and of a chunk
        extension.
    head_bytes : int
        Maximum size in bytes of all headers, and of all trailers.
    n_informational : int
        Maximum number of informational responses (1xx) ahead of a final one.
    n_skipped : int
        Maximum number of responses to other requests ahead of the awaited one.
    """

    line_bytes: int = 16_384
    head_bytes: int = 65_536
    n_informational: int = 32
    n_skipped: int = 16


class ResponseReader:
    """Incremental parser of the responses on one connection.

    Parameters
    ----------
    names : HeaderNames
        Header names.
    memory : BodyMemory, optional
        Memory for bodies; by default unlimited. A large body that does not fit is
        malformed, and so is one of unknown length that takes half of the memory.
    limits : ResponseLimits, optional
        Limits of the other parts.

    Attributes
    ----------
    in_message : bool
        Whether a response has begun and is not complete, or malformed data has followed
        a complete one.
    is_malformed : bool
        Whether malformed data has followed a complete response.
    """

    def __init__(
        self,
        names: HeaderNames,
        memory: BodyMemory | None = None,
        limits: ResponseLimits | None = None,
    ) -> None:
        self._memory = memory or BodyMemory()
        limits = limits or ResponseLimits()
        self._line_bytes, self._head_bytes = limits.line_bytes, limits.head_bytes
        self._max_informational = limits.n_informational
        self._n_informational = 0
        # Bytes since the parser last completed a part of a message.
        self._n_pending = 0
        self._has_progress = False
        self._n_held = 0
        self._id_name = names.request_id.lower()
        self._not_run_name = names.not_run.lower()
        self._load_name = names.load.lower()
        self._rate_limit_name = names.rate_limit.lower()
        self._leaving_name = names.leaving.lower()
        self._instance_name = names.instance.lower()
        self._body = BodyParts()
        self._parser = httptools.HttpResponseParser(self)
        self._completed: list[Response] = []
        self._error: BadResponse | None = None
        self._reset()
        self.in_message = False
        self.is_malformed = False

    def _reset(self) -> None:
        self._reason = b""
        self._lines: list[bytes] = []
        self._headers = b""
        if self._body.size:
            self._body.clear()
        self._length: int | None = None
        self._n_head_bytes = 0
        self._memory.release(self._n_held)
        self._n_held = 0
        self._request_id = ""
        self._not_run = False
        self._instance = ""
        self._load = b""
        self._rate_limit: bytes | None = None
        self._leaving: bytes | None = None
        self._idle_timeout: float | None = None
        self._has_framing = False
        self._is_chunked = False
        self._is_head_complete = False

    def feed(self, data: bytes) -> list[Response]:
        """Parse data and return the responses that it completes.

        Parameters
        ----------
        data : bytes
            Received bytes.

        Raises
        ------
        BadResponse
            If the data is malformed and completes no response. Malformed data after a
            complete response only sets `in_message` and `is_malformed`.
        """
        if self._has_progress:
            self._n_pending, self._has_progress = 0, False
        try:
            self._parser.feed_data(data)
            if not self._has_progress:
                self._check_pending(len(data))
        except (
            BadResponse,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as exc:
            if self._completed:
                self.in_message = self.is_malformed = True
                return self._take_completed()
            raise self._error or BadResponse(
                f"malformed HTTP/1.1 response: {exc}"
            ) from None
        return self._take_completed()

    def _fail(self, reason: str, part: str = "") -> NoReturn:
        """Make `feed` raise the reason, from within a callback of the parser."""
        self._error = BadResponse(reason, part)
        raise self._error

    def _check_pending(self, n_bytes: int) -> None:
        """Fail if a part is too long that the parser has not completed yet."""
        self._n_pending += n_bytes
        if self._n_pending > self._line_bytes:
            self._fail_too_long("line", self._line_bytes)

    def _fail_too_long(self, part: str, limit: int) -> NoReturn:
        self._fail(f"{part} of a response exceeds {limit} bytes", part)

    def end(self) -> list[Response]:
        """Process the orderly end of the connection.

        Returns
        -------
        list of Response
            The response that extends to the end of the connection, if there is one.

        Raises
        ------
        BadResponse
            If the end of the connection truncates a response.
        """
        if not self.in_message:
            return []
        if not self.ends_with_connection:
            raise BadResponse("connection closed in the middle of a response")
        self._finish(keep_alive=False)
        return self._take_completed()

    @property
    def ends_with_connection(self) -> bool:
        """Whether a response without a length is in progress."""
        return self.in_message and self._is_head_complete and not self._has_framing

    def close(self) -> None:
        """Drop what has been read, and the parser, which refers back to this reader."""
        self._reset()
        del self._parser

    def _take_completed(self) -> list[Response]:
        done, self._completed = self._completed, []
        return done

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._reset()
        self.in_message = True

    def on_status(self, part: bytes) -> None:
        """Append to the reason phrase."""
        self._has_progress = True
        if len(self._reason) + len(part) > self._line_bytes:
            self._fail_too_long("line", self._line_bytes)
        self._reason += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process one header; trailers are dropped."""
        self._has_progress = True
        n_bytes = len(name) + len(value) + 4
        self._n_head_bytes += n_bytes
        if n_bytes > self._line_bytes or self._n_head_bytes > self._head_bytes:
            self._fail_head(n_bytes)
        if self._is_head_complete:
            return
        lower_name = name.lower()
        if lower_name in HOP_HEADERS:
            self._check_not_truncated(value)
            if lower_name == b"keep-alive":
                self._idle_timeout = _idle_timeout(value)
            elif lower_name == b"transfer-encoding":
                self._set_transfer_coding(value)
            elif lower_name != b"connection":
                self._has_framing = True
                if lower_name == b"content-length" and value.isdigit():
                    self._length = int(value)
            return
        if lower_name == self._id_name:
            self._set_request_id(value.decode("latin-1"))
        elif lower_name == self._not_run_name:
            self._not_run = True
        elif lower_name == self._load_name:
            self._load = value
        elif lower_name == self._rate_limit_name:
            self._rate_limit = _join(self._rate_limit, value)
        elif lower_name == self._leaving_name:
            self._leaving = _join(self._leaving, value)
        elif lower_name == self._instance_name:
            self._instance = value.decode("latin-1")
        self._lines.append(name + b": " + value + b"\r\n")

    def _set_transfer_coding(self, coding: bytes) -> None:
        """Accept only ``chunked``: a body in another coding could not be passed on."""
        if self._is_chunked or coding.strip().lower() != b"chunked":
            self._fail("response in a transfer coding other than chunked")
        self._is_chunked = self._has_framing = True

    def _set_request_id(self, request_id: str) -> None:
        if self._request_id not in ("", request_id):
            self._fail("response with two identifiers")
        self._request_id = request_id

    def _check_not_truncated(self, text: bytes) -> None:
        """Fail if headers or a reason phrase contain the head of the next response."""
        if b"HTTP/" in text and _STATUS_LINE.search(text):
            self._fail("status line within the head of a response")

    def _check_version(self, version: str) -> None:
        """Fail if a response is not one of HTTP/1.0 or HTTP/1.1."""
        if version not in _VERSIONS:
            self._fail(f"response of HTTP/{version}, expected HTTP/1.0 or HTTP/1.1")

    def _check_status(self, status: int) -> None:
        """Fail if a response has a status that no response to a request here has."""
        if not _MIN_STATUS <= status <= _MAX_STATUS or status == _SWITCHING_PROTOCOLS:
            self._fail(f"response with status {status:03d}")

    def _fail_head(self, n_bytes: int) -> NoReturn:
        """Fail because a header or trailer, or all of them, are too long."""
        if n_bytes > self._line_bytes:
            self._fail_too_long("line", self._line_bytes)
        part = "trailers" if self._is_head_complete else "headers"
        self._fail_too_long(part, self._head_bytes)

    def on_headers_complete(self) -> None:
        """Mark the head as complete, and reserve memory for the whole body."""
        self._has_progress = True
        self._check_version(self._parser.get_http_version())
        self._check_status(self._parser.get_status_code())
        self._headers = b"".join(self._lines)
        if _CONTROL_BYTE.search(self._reason):
            self._fail("control byte in the reason phrase")
        self._check_not_truncated(self._reason)
        self._check_not_truncated(self._headers)
        self._is_head_complete = True
        self._n_head_bytes = 0
        if self._length is not None and self._length >= LARGE_BODY_BYTES:
            self._hold(self._length)

    def on_body(self, part: bytes) -> None:
        """Append to the body."""
        self._has_progress = True
        self._body.append(part)
        if self._length is None:
            self._check_unstated_length()
        if self._body.size >= LARGE_BODY_BYTES:
            self._hold(self._body.size)

    def _check_unstated_length(self) -> None:
        """Fail if a body of unknown length uses more than its share."""
        if self._body.has_too_small_parts:
            self._fail("body in too many small chunks", "body")
        if self._body.size > self._memory.limit * _MAX_UNSTATED_SHARE:
            self._fail("body of unknown length uses too much memory", "body")

    def _hold(self, n_bytes: int) -> None:
        """Reserve memory for a large body of `n_bytes` in total."""
        if n_bytes <= self._n_held:
            return
        if not self._memory.fits(n_bytes - self._n_held):
            self._fail("no memory for the body of the response", "body")
        self._memory.grow(self._n_held, n_bytes - self._n_held)
        self._n_held = n_bytes

    def on_message_complete(self) -> None:
        """Complete a response; informational ones (1xx) are dropped."""
        self._has_progress = True
        if self._parser.get_status_code() >= 200:
            self._finish(self._parser.should_keep_alive())
            return
        self.in_message = False
        self._n_informational += 1
        if self._n_informational > self._max_informational:
            self._fail("too many informational responses", "informational")

    def _finish(self, keep_alive: bool) -> None:
        self.in_message = False
        self._completed.append(
            Response(
                self._parser.get_status_code(),
                self._reason,
                self._headers,
                self._body.take(),
                self._request_id,
                self._not_run,
                self._instance,
                self._load,
                self._rate_limit,
                self._leaving,
                self._idle_timeout,
                keep_alive,
            )
        )
        self._lines = []
        self._headers = b""
        self._n_informational = 0
        self._memory.release(self._n_held)
        self._n_held = 0


def _join(earlier: bytes | None, value: bytes) -> bytes:
    """Return the values of several headers of one name, joined by commas."""
    return value if earlier is None else earlier + b", " + value


def _idle_timeout(value: bytes) -> float | None:
    """Return the ``timeout`` of a ``Keep-Alive`` header in milliseconds."""
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.isdigit():
            return float(number) * 1_000.0
    return None
