"""Client of the nodes' administration API."""

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
    """The HTTP response of a node.

    Parameters
    ----------
    node : str
        Admin address of the node.
    status : int
        HTTP status.
    body : dict
        The JSON object. A JSON value of another type is under ``"items"``, text that
        is not JSON under ``"text"``; empty if over `MAX_BODY_BYTES`.
    server_time : float
        Unix time in milliseconds from the ``Date`` header, to the second; 0 without
        one.
    """

    node: str
    status: int
    body: dict[str, Any]
    server_time: Milliseconds = 0.0

    @property
    def ok(self) -> bool:
        """Whether the request succeeded."""
        return self.status < 300


@dataclass(frozen=True, slots=True)
class NoReply:
    """The failure of a request that got no response.

    Parameters
    ----------
    node : str
        Admin address of the node, or of several, separated by commas.
    maybe_sent : bool
        Whether the node may have received and executed the request.
    detail : str
        Description of the failure.
    """

    node: str
    maybe_sent: bool
    detail: str


Answer: TypeAlias = Reply | NoReply


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Sends requests to nodes over one connection pool.

    Parameters
    ----------
    http : httpx.AsyncClient
        Connection pool.
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
        """Send a request to one node.

        Parameters
        ----------
        node : str
            Admin address, ``IP:PORT``.
        method : str
            HTTP method.
        path : str
            HTTP path.
        params : mapping, optional
            Query parameters.
        body : mapping, optional
            JSON object to send as the body.
        with_token : bool, default=True
            Whether to send the token; False for endpoints that do not need it.

        Returns
        -------
        Reply or NoReply
            A `Reply` for every response, whatever its HTTP status.
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
                node, maybe_sent=False, detail=f"{node!r} is not a valid address: {exc}"
            )
        return Reply(node, res.status_code, _json_object(res), _server_time(res))

    async def request_any(
        self, nodes: tuple[str, ...], method: str, path: str, **kwargs: Any
    ) -> Answer:
        """Send an idempotent request to one node after another until one answers.

        Parameters
        ----------
        nodes : tuple of str
            Admin addresses, at least one.
        method : str
            HTTP method.
        path : str
            HTTP path.
        **kwargs
            As for `request`.

        Returns
        -------
        Reply or NoReply
            The first reply, or one `NoReply` for all nodes if none replies.
        """
        failures: list[NoReply] = []
        for node in nodes:
            answer = await self.request(node, method, path, **kwargs)
            if isinstance(answer, Reply):
                return answer
            failures.append(answer)
        return merge_failures(failures)


def merge_failures(failures: Sequence[NoReply]) -> NoReply:
    """Merge failures; `maybe_sent` is set if any node may have got the request."""
    return NoReply(
        node=", ".join(failure.node for failure in failures),
        maybe_sent=any(failure.maybe_sent for failure in failures),
        detail="; ".join(f"{f.node}: {f.detail}" for f in failures),
    )


def make_http(
    invocation: Invocation,
    transport: Callable[[], httpx.AsyncBaseTransport] | None = None,
) -> httpx.AsyncClient:
    """Return the connection pool for one invocation.

    Parameters
    ----------
    invocation : Invocation
        Provides the timeout.
    transport : callable, optional
        Creates the HTTP transport; by default TCP. Tests pass a fake.

    Returns
    -------
    httpx.AsyncClient
        Client for use with ``async with``. Proxy variables of the environment are
        ignored.
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
    """Return the message of the underlying `OSError`, or else of the exception."""
    cause: BaseException | None = exc
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno:
            return os.strerror(cause.errno).lower()
        if isinstance(cause, BaseExceptionGroup):
            cause = cause.exceptions[0]
        else:
            cause = cause.__cause__ or cause.__context__
    return str(exc) or type(exc).__name__
