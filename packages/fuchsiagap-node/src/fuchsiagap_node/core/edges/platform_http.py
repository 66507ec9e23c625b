"""HTTP client of the platform's object API.

Objects are read and written by ``GET``, ``PUT`` and ``DELETE`` of ``/objects/PATH``.
The version is in ``ETag``, and ``If-Match`` or ``If-None-Match: *`` makes an update
conditional. ``GET /objects?prefix=…`` lists objects, and with ``after=VERSION`` it
waits for changes.
"""

from __future__ import annotations

import base64
import binascii
import json
import logging
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeAlias
from urllib.parse import quote

import httpx
import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds
from fuchsiagap_node.core.ports import (
    Conflict,
    Missing,
    PlatformUnavailable,
    PutResult,
    StoredObject,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

DELETED_HEADER = "object-deleted"
MAX_BODY_BYTES = 64 * 1024 * 1024
# Errors of the decoding of a response; `RecursionError` for deep nesting, and
# `OverflowError` for numbers that are too large.
_UNDECODABLE = (
    ValueError,
    KeyError,
    TypeError,
    binascii.Error,
    RecursionError,
    OverflowError,
)
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclass(frozen=True, slots=True)
class PlatformHttpSettings:
    """Address and timeouts of the platform client.

    Parameters
    ----------
    url : str
        Base URL with an IP address, for example ``http://127.0.0.1:8000``.
    timeout : float
        Time limit of each request with its response, in milliseconds; for a watch
        request, in addition to `watch_wait`.
    watch_wait : float
        Time in milliseconds after which the platform ends an empty watch request and
        the watch sends the next one. Each counts as one call at the platform.
    max_connections : int
        Maximum number of connections; each running watch holds one.
    """

    url: str
    timeout: Milliseconds = 2_000.0
    watch_wait: Milliseconds = 30_000.0
    max_connections: int = 8


@dataclass(frozen=True, slots=True)
class _Reply:
    """A complete HTTP response."""

    status: int
    headers: httpx.Headers
    body: bytes


_ExchangeResult: TypeAlias = _Reply | PlatformUnavailable


@asynccontextmanager
async def open_platform(cfg: PlatformHttpSettings) -> AsyncIterator[HttpPlatform]:
    """Open a client of the platform; its connections close at the end of the block.

    Parameters
    ----------
    cfg : PlatformHttpSettings
        Address and timeouts.

    Yields
    ------
    HttpPlatform
        The client; it has not sent anything yet.
    """
    # At the default level `httpx` logs a line for each request.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    timeout = httpx.Timeout(cfg.timeout / MS_PER_S)
    limits = httpx.Limits(max_connections=cfg.max_connections)
    async with httpx.AsyncClient(
        base_url=cfg.url, timeout=timeout, limits=limits, trust_env=False
    ) as client:
        yield HttpPlatform(cfg, client)


class HttpPlatform:
    """Client of the platform's object API; implements `ports.Platform`.

    Parameters
    ----------
    cfg : PlatformHttpSettings
        Address and timeouts.
    client : httpx.AsyncClient
        HTTP client with the platform as base URL.
    """

    def __init__(self, cfg: PlatformHttpSettings, client: httpx.AsyncClient) -> None:
        self._cfg = cfg
        self._client = client

    async def get(self, path: str) -> StoredObject | Missing | PlatformUnavailable:
        """Read one object; a deleted object is returned as a tombstone."""
        reply = await self._exchange("GET", _object_url(path))
        if isinstance(reply, PlatformUnavailable):
            return reply
        if reply.status == httpx.codes.NOT_FOUND:
            return Missing(path)
        if reply.status == httpx.codes.OK:
            return _parse_stored(path, reply, is_write=False)
        return _unexpected_status(reply, is_write=False)

    async def list(self, prefix: str) -> tuple[StoredObject, ...] | PlatformUnavailable:
        """Read all objects under a prefix, including tombstones."""
        return _parse_objects(
            await self._exchange("GET", f"/objects?prefix={quote(prefix)}")
        )

    async def put(
        self, path: str, value: bytes, expected_version: int | None
    ) -> PutResult:
        """Write an object if its version is the expected one."""
        return await self._write("PUT", path, value, expected_version)

    async def delete(self, path: str, expected_version: int | None) -> PutResult:
        """Replace an object with a tombstone, under the same condition as `put`."""
        return await self._write("DELETE", path, b"", expected_version)

    async def watch(
        self, prefix: str, after_version: int
    ) -> AsyncIterator[StoredObject | PlatformUnavailable]:
        """Yield each change under a prefix; end after a `PlatformUnavailable`."""
        wait = self._cfg.watch_wait
        while True:
            query = f"prefix={quote(prefix)}&after={after_version}&wait_ms={wait:.0f}"
            reply = await self._exchange("GET", f"/objects?{query}", wait=wait)
            changes = _parse_objects(reply)
            if isinstance(changes, PlatformUnavailable):
                yield changes
                return
            for change in changes:
                after_version = max(after_version, change.version)
                yield change

    async def _write(
        self, method: str, path: str, value: bytes, expected_version: int | None
    ) -> PutResult:
        headers = _condition_headers(expected_version)
        reply = await self._exchange(method, _object_url(path), value, headers)
        if isinstance(reply, PlatformUnavailable):
            return reply
        if reply.status == httpx.codes.OK:
            stored = _parse_stored(path, reply, is_write=True)
            if isinstance(stored, PlatformUnavailable):
                return stored
            deleted = method == "DELETE"
            return StoredObject(path, stored.version, value, deleted)
        if reply.status == httpx.codes.PRECONDITION_FAILED:
            return _parse_conflict(path, reply)
        return _unexpected_status(reply, is_write=True)

    async def _exchange(
        self,
        method: str,
        url: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
        wait: Milliseconds = 0.0,
    ) -> _ExchangeResult:
        is_write = method != "GET"
        # The timeouts of `httpx` apply to each read and write; `total_timeout_s`
        # limits the whole exchange.
        total_timeout_s = (self._cfg.timeout + wait) / MS_PER_S
        timeout = httpx.Timeout(self._cfg.timeout / MS_PER_S, read=total_timeout_s)
        try:
            with trio.fail_after(total_timeout_s):
                async with self._client.stream(
                    method, url, content=content, headers=headers, timeout=timeout
                ) as response:
                    body = await _read_bounded(response)
        except _NOT_SENT_ERRORS as exc:
            return PlatformUnavailable(
                maybe_applied=False, detail=_describe_exception(exc)
            )
        except (httpx.HTTPError, trio.TooSlowError, _TooLarge) as exc:
            return PlatformUnavailable(
                maybe_applied=is_write, detail=_describe_exception(exc)
            )
        return _Reply(response.status_code, response.headers, body)


class _TooLarge(Exception):
    """A response body exceeds `MAX_BODY_BYTES`."""


async def _read_bounded(response: httpx.Response) -> bytes:
    pieces: list[bytes] = []
    size = 0
    async for piece in response.aiter_raw():
        pieces.append(piece)
        size += len(piece)
        if size > MAX_BODY_BYTES:
            raise _TooLarge(f"response body exceeds {MAX_BODY_BYTES} bytes")
    return b"".join(pieces)


def _object_url(path: str) -> str:
    return f"/objects{quote(path)}"


def _condition_headers(expected_version: int | None) -> dict[str, str]:
    if expected_version is None:
        return {}
    if expected_version == 0:
        return {"if-none-match": "*"}
    return {"if-match": f'"{expected_version}"'}


def _parse_stored(
    path: str, reply: _Reply, *, is_write: bool
) -> StoredObject | PlatformUnavailable:
    etag = reply.headers.get("etag", "").strip('"')
    if not etag.isdecimal():
        detail = f'{path}: etag {etag!r}; expected a version such as "17"'
        return PlatformUnavailable(maybe_applied=is_write, detail=detail)
    return StoredObject(path, int(etag), reply.body, DELETED_HEADER in reply.headers)


def _parse_conflict(path: str, reply: _Reply) -> Conflict | PlatformUnavailable:
    if "etag" not in reply.headers:
        return Conflict(None)
    current = _parse_stored(path, reply, is_write=False)
    if isinstance(current, PlatformUnavailable):
        return current
    return Conflict(current)


def _unexpected_status(reply: _Reply, *, is_write: bool) -> PlatformUnavailable:
    # With a client error the platform changed nothing; with a server error it may have.
    maybe_applied = is_write and reply.status >= httpx.codes.INTERNAL_SERVER_ERROR
    detail = f"status {reply.status}: {reply.body[:200]!r}"
    return PlatformUnavailable(maybe_applied, detail)


def _parse_objects(
    reply: _ExchangeResult,
) -> tuple[StoredObject, ...] | PlatformUnavailable:
    if isinstance(reply, PlatformUnavailable):
        return reply
    if reply.status != httpx.codes.OK:
        return _unexpected_status(reply, is_write=False)
    try:
        entries = json.loads(reply.body)["objects"]
        return tuple(_parse_entry(entry) for entry in entries)
    except _UNDECODABLE as exc:
        return PlatformUnavailable(maybe_applied=False, detail=_describe_exception(exc))


def _parse_entry(entry: Any) -> StoredObject:
    value = base64.b64decode(entry["value"], validate=True)
    path, version = str(entry["path"]), int(entry["version"])
    return StoredObject(path, version, value, bool(entry["deleted"]))


def _describe_exception(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"
