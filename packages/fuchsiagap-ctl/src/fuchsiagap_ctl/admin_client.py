"""Asking nodes over their administration API."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING, Any, TypeAlias

import httpx

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_ctl.invocation import Invocation

MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Reply:
    """What a node answered.

    Parameters
    ----------
    node : str
        Its admin address.
    status : int
        HTTP status.
    body : dict
        The JSON object; any other text stands under ``"text"``.
    server_time : float
        The node's time of day in milliseconds, to the second; 0 if it said none.
    """

    node: str
    status: int
    body: dict[str, Any]
    server_time: Milliseconds = 0.0

    @property
    def ok(self) -> bool:
        """Whether the node did what it was asked."""
        return self.status < 300


@dataclass(frozen=True, slots=True)
class NoReply:
    """A node did not answer.

    Parameters
    ----------
    node : str
        Its admin address.
    sent : bool
        Whether it may have got the request, and have done it.
    detail : str
        Why, for people.
    """

    node: str
    maybe_sent: bool
    detail: str


Answer: TypeAlias = Reply | NoReply


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Asks nodes over one pool of connections.

    Parameters
    ----------
    http : httpx.AsyncClient
        The pool.
    token : str
        Bearer token; empty for none.
    """

    http: httpx.AsyncClient
    token: str

    async def request(
        self,
        node: str,
        method: str,
        path: str,
        *,
        params: Mapping[str, str] | None = None,
        body: Mapping[str, Any] | None = None,
        with_token: bool = True,
    ) -> Answer:
        """Ask one node.

        Parameters
        ----------
        node : str
            Admin address, ``IP:PORT``.
        method, path : str
            Of the request.
        params : mapping, optional
            Of the query.
        body : mapping, optional
            JSON object of the request.
        with_token : bool, default=True
            Whether the token goes along; what needs none is asked without.

        Returns
        -------
        Reply or NoReply
            Every HTTP status is a `Reply`.
        """
        bearer = self.token if with_token else ""
        headers = {"authorization": f"Bearer {bearer}"} if bearer else {}
        url = f"http://{node}{path}"
        try:
            res = await self.http.request(
                method, url, params=params, json=body, headers=headers
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return NoReply(node, maybe_sent=False, detail=_error_text(exc))
        except httpx.HTTPError as exc:
            return NoReply(node, maybe_sent=True, detail=_error_text(exc))
        except httpx.InvalidURL as exc:
            return NoReply(
                node, maybe_sent=False, detail=f"{node!r} is no address: {exc}"
            )
        return Reply(node, res.status_code, _json_object(res), _server_time(res))

    async def request_any(
        self, nodes: tuple[str, ...], method: str, path: str, **kwargs: Any
    ) -> Answer:
        """Ask nodes in turn until one answers; for what is safe to repeat.

        Parameters
        ----------
        nodes : tuple of str
            Admin addresses, at least one.
        method, path : str
            Of the request.
        **kwargs
            As for `ask`.

        Returns
        -------
        Reply or NoReply
            The first reply; if none came, one `NoReply` that names every node, and
            `sent` if any of them may have got the request.
        """
        failures: list[NoReply] = []
        for node in nodes:
            answer = await self.request(node, method, path, **kwargs)
            if isinstance(answer, Reply):
                return answer
            failures.append(answer)
        return merge_failures(failures)


def merge_failures(failures: Sequence[NoReply]) -> NoReply:
    """Return one failure that names every node, and is sent if any of them was."""
    return NoReply(
        node=", ".join(failure.node for failure in failures),
        maybe_sent=any(failure.maybe_sent for failure in failures),
        detail="; ".join(f"{f.node}: {f.detail}" for f in failures),
    )


def make_http(
    invocation: Invocation,
    transport: Callable[[], httpx.AsyncBaseTransport] | None = None,
) -> httpx.AsyncClient:
    """Return the pool of connections of one invocation.

    Parameters
    ----------
    invocation : Invocation
        Gives the timeout.
    transport : callable, optional
        Makes the transport; tests pass a fake.

    Returns
    -------
    httpx.AsyncClient
        To be used with ``async with``. Proxies of the environment are not used.
    """
    return httpx.AsyncClient(
        timeout=invocation.timeout / MS_PER_S,
        transport=transport() if transport else None,
        trust_env=False,
        limits=httpx.Limits(max_connections=64, max_keepalive_connections=64),
    )


def _json_object(res: httpx.Response) -> dict[str, Any]:
    if len(res.content) > MAX_BODY_BYTES:
        return {}
    try:
        parsed = json.loads(res.content)
    except ValueError:
        return {"text": res.text}
    return parsed if isinstance(parsed, dict) else {"items": parsed}


def _server_time(res: httpx.Response) -> Milliseconds:
    try:
        return parsedate_to_datetime(res.headers["date"]).timestamp() * MS_PER_S
    except (KeyError, ValueError):
        return 0.0


def _error_text(exc: BaseException) -> str:
    """Return the system's own word where there is one below the library's."""
    cause: BaseException | None = exc
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno:
            return os.strerror(cause.errno).lower()
        if isinstance(cause, BaseExceptionGroup):
            cause = cause.exceptions[0]
        else:
            cause = cause.__cause__ or cause.__context__
    return str(exc) or type(exc).__name__
