"""The platform over HTTP.

The protocol: ``GET``, ``PUT`` and ``DELETE`` of ``/objects/PATH``, the version in
``ETag``, ``If-Match`` and ``If-None-Match: *`` for conditional updates, and
``GET /objects?prefix=…`` to list, with ``after=VERSION`` to wait for changes.
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
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclass(frozen=True, slots=True)
class PlatformHttpSettings:
    """How a node talks to the platform.

    Parameters
    ----------
    url : str
        Base URL by IP number, for example ``http://127.0.0.1:8000``.
    timeout : float
        Milliseconds within which each call has to be answered whole.
    watch_wait : float
        Milliseconds a watch waits before it asks anew; the platform counts each
        time as one call.
    max_connections : int
        Connections at most; each running watch holds one.
    """

    url: str
    timeout: Milliseconds = 2_000.0
    watch_wait: Milliseconds = 30_000.0
    max_connections: int = 8


@dataclass(frozen=True, slots=True)
class _Reply:
    """One HTTP response, whole."""

    status: int
    headers: httpx.Headers
    body: bytes


_ExchangeResult: TypeAlias = _Reply | PlatformUnavailable


@asynccontextmanager
async def open_platform(cfg: PlatformHttpSettings) -> AsyncIterator[HttpPlatform]:
    """Open the platform's API; its connections close at the end of the block.

    Parameters
    ----------
    cfg : PlatformHttpSettings
        Where it is and how long to wait.

    Yields
    ------
    HttpPlatform
        The API; nothing has been sent yet.
    """
    # The library writes a line for each call.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    timeout = httpx.Timeout(cfg.timeout / MS_PER_S)
    limits = httpx.Limits(max_connections=cfg.max_connections)
    async with httpx.AsyncClient(
        base_url=cfg.url, timeout=timeout, limits=limits, trust_env=False
    ) as client:
        yield HttpPlatform(cfg, client)


class HttpPlatform:
    """The platform's object API over HTTP; implements `ports.Platform`.

    Parameters
    ----------
    cfg : PlatformHttpSettings
        Timeouts.
    client : httpx.AsyncClient
        With the platform as base URL.
    """

    def __init__(self, cfg: PlatformHttpSettings, client: httpx.AsyncClient) -> None:
        self._cfg = cfg
        self._client = client

    async def get(self, path: str) -> StoredObject | Missing | PlatformUnavailable:
        """Read one object; a deleted one comes as a tombstone."""
        reply = await self._exchange("GET", _object_url(path))
        if isinstance(reply, PlatformUnavailable):
            return reply
        if reply.status == httpx.codes.NOT_FOUND:
            return Missing(path)
        if reply.status == httpx.codes.OK:
            return _parse_stored(path, reply, is_write=False)
        return _unexpected_status(reply, is_write=False)

    async def list(self, prefix: str) -> tuple[StoredObject, ...] | PlatformUnavailable:
        """Read all objects under a prefix, tombstones included."""
        return _parse_objects(
            await self._exchange("GET", f"/objects?prefix={quote(prefix)}")
        )

    async def put(
        self, path: str, value: bytes, expected_version: int | None
    ) -> PutResult:
        """Write if the version is the expected one."""
        return await self._write("PUT", path, value, expected_version)

    async def delete(self, path: str, expected_version: int | None) -> PutResult:
        """Leave a tombstone, under the same condition as `put`."""
        return await self._write("DELETE", path, b"", expected_version)

    async def watch(
        self, prefix: str, after_version: int
    ) -> AsyncIterator[StoredObject | PlatformUnavailable]:
        """Yield each change under a prefix; ends after a `PlatformUnavailable`."""
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
        # The library's timeouts are for each read and write; `total_timeout_s`
        # is over all.
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
    """A body was longer than `MAX_BODY_BYTES`."""


async def _read_bounded(response: httpx.Response) -> bytes:
    pieces: list[bytes] = []
    size = 0
    async for piece in response.aiter_raw():
        pieces.append(piece)
        size += len(piece)
        if size > MAX_BODY_BYTES:
            raise _TooLarge(f"a body of more than {MAX_BODY_BYTES} bytes")
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
    # A client error is said before anything is changed; a server error may not be.
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
    except (ValueError, KeyError, TypeError, binascii.Error) as exc:
        return PlatformUnavailable(maybe_applied=False, detail=_describe_exception(exc))


def _parse_entry(entry: Any) -> StoredObject:
    value = base64.b64decode(entry["value"], validate=True)
    path, version = str(entry["path"]), int(entry["version"])
    return StoredObject(path, version, value, bool(entry["deleted"]))


def _describe_exception(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"
