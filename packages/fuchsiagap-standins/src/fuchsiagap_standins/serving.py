"""Serve the ASGI applications of stand-ins over HTTP and announce their address."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

KEEP_ALIVE_S = 60
BACKLOG = 1024
LISTENING_PREFIX = "listening "


async def serve_app(
    app: Any,
    bind: str,
    keep_alive_s: float = KEEP_ALIVE_S,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled.

    Parameters
    ----------
    app : ASGI application
        Application to serve.
    bind : str
        ``IP:PORT`` to listen on; port 0 selects a free port.
    keep_alive_s : float
        Idle time in seconds after which a connection is closed.
    task_status : trio.TaskStatus
        Receives the ``IP:PORT`` that the server listens on.
    """
    cfg = Config()
    cfg.bind = [bind]
    cfg.backlog = BACKLOG
    cfg.loglevel = "WARNING"
    cfg.keep_alive_timeout = keep_alive_s  # type: ignore[assignment]
    cfg.graceful_timeout = 0.1  # seconds
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(_serve, app, cfg)
        task_status.started(urlsplit(urls[0]).netloc)


async def _serve(
    app: Any, cfg: Config, *, task_status: trio.TaskStatus[list[str]]
) -> None:
    # Without a shutdown trigger, hypercorn serves until it is cancelled.
    await serve(app, cfg, task_status=task_status, mode="asgi")


async def wait_for_stop_signal(*, grace: Milliseconds = 0.0) -> None:
    """Wait for SIGTERM or SIGINT.

    Parameters
    ----------
    grace : float
        Milliseconds to wait after the signal.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await trio.sleep(grace / 1000.0)
            return


def announce(address: str) -> None:
    """Print the listening address, which the parent process reads from stdout."""
    print(f"{LISTENING_PREFIX}{address}", flush=True)
