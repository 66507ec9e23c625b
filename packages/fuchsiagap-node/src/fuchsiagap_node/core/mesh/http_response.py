"""Answers as they come in from backend servers and from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import httptools

from fuchsiagap_node.core.mesh.http_names import HOP_HEADERS

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.http_names import HeaderNames


class Response(NamedTuple):
    """One whole answer.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : bytes
        Reason phrase.
    headers : bytes
        End-to-end header lines, each closed by CR LF.
    body : bytes
        Whole body.
    request_id : str
        Echoed identifier; empty if there was none.
    not_run : bool
        Whether the backend server says that it did not run the request.
    instance : str
        Incarnation that answered, where it says so.
    load : bytes
        Load as reported; empty if it was not.
    idle_timeout : float or None
        Milliseconds for which the connection stays open when idle, if it says so.
    keep_alive : bool
        Whether the connection may be used again.
    """

    status: int
    reason: bytes
    headers: bytes
    body: bytes
    request_id: str = ""
    not_run: bool = False
    instance: str = ""
    load: bytes = b""
    idle_timeout: float | None = None
    keep_alive: bool = True


class BadResponse(Exception):
    """The bytes are no answer, or not a whole one."""


class ResponseReader:
    """Cuts the bytes of one connection into answers.

    Parameters
    ----------
    names : HeaderNames
        Header names.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._id_name = names.request_id.lower()
        self._not_run_name = names.not_run.lower()
        self._load_name = names.load.lower()
        self._instance_name = names.instance.lower()
        self._parser = httptools.HttpResponseParser(self)
        self._done: list[Response] = []
        self._reset()
        self.in_message = False

    def _reset(self) -> None:
        self._reason = b""
        self._lines: list[bytes] = []
        self._body: list[bytes] = []
        self._request_id = ""
        self._not_run = False
        self._instance = ""
        self._load = b""
        self._idle_timeout: float | None = None
        self._framed = False
        self._head_done = False

    def feed(self, data: bytes) -> list[Response]:
        """Take in bytes and return the answers that they complete.

        Raises
        ------
        BadResponse
            If they are none; answers completed before the fault are lost with it.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self._done:
                self.in_message = True
                return self._take()
            raise BadResponse(f"not an HTTP/1.1 answer: {exc}") from None
        return self._take()

    def end(self) -> list[Response]:
        """Take in the orderly end of the connection.

        Raises
        ------
        BadResponse
            If an answer is cut short by it.
        """
        if not self.in_message:
            return []
        if not self._head_done or self._framed:
            raise BadResponse("the connection ended within an answer")
        self._finish(keep_alive=False)
        return self._take()

    def _take(self) -> list[Response]:
        done, self._done = self._done, []
        return done

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._reset()
        self.in_message = True

    def on_status(self, part: bytes) -> None:
        """Take in a part of the reason phrase."""
        self._reason += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header line."""
        low = name.lower()
        if low in HOP_HEADERS:
            if low == b"keep-alive":
                self._idle_timeout = _idle_timeout(value)
            elif low != b"connection":
                self._framed = True
            return
        if low == self._id_name:
            self._request_id = value.decode("latin-1")
        elif low == self._not_run_name:
            self._not_run = True
        elif low == self._load_name:
            self._load = value
        elif low == self._instance_name:
            self._instance = value.decode("latin-1")
        self._lines.append(name + b": " + value + b"\r\n")

    def on_headers_complete(self) -> None:
        """Finish the head."""
        self._head_done = True

    def on_body(self, part: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Finish an answer."""
        if self._parser.get_status_code() >= 200:
            self._finish(self._parser.should_keep_alive())

    def _finish(self, keep_alive: bool) -> None:
        self.in_message = False
        self._done.append(
            Response(
                self._parser.get_status_code(),
                self._reason,
                b"".join(self._lines),
                self._body[0] if len(self._body) == 1 else b"".join(self._body),
                self._request_id,
                self._not_run,
                self._instance,
                self._load,
                self._idle_timeout,
                keep_alive,
            )
        )


def _idle_timeout(value: bytes) -> float | None:
    """Return the ``timeout`` of a ``Keep-Alive`` header in milliseconds."""
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.isdigit():
            return float(number) * 1_000.0
    return None
