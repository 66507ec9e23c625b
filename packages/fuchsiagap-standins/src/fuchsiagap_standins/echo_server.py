"""Backend server that echoes at once, to measure the latency that proxies add."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import trio
from absl import flags

from fuchsiagap_node.core.edges.http_server import (
    BadRequest,
    HttpRequest,
    HttpResponse,
    HttpServerSettings,
    serve_http,
)
from fuchsiagap_standins.command_line import new_flags, parse_flags
from fuchsiagap_standins.serving import announce

if TYPE_CHECKING:
    from collections.abc import Sequence

_LOAD_REPORT = b'{"healthy": true, "slots": 256, "in_flight": 0, "draining": false}'
_MAX_BODY_BYTES = 64 * 1024 * 1024
_MAX_HEADER_BYTES = 16 * 1024


async def _handle(req: HttpRequest) -> HttpResponse:
    body = _LOAD_REPORT if req.target == "/-/load" else req.body or req.target.encode()
    return HttpResponse(200, [], body)


def _handle_bad_request(bad_request: BadRequest) -> HttpResponse:
    return HttpResponse(bad_request.status, [], bad_request.detail.encode(), close=True)


async def run_echo(ip: str) -> None:
    """Serve until the process is terminated.

    Parameters
    ----------
    ip : str
        IP address to listen on, at a free port.
    """
    listener = (await trio.open_tcp_listeners(0, host=ip))[0]
    host, port = listener.socket.getsockname()[:2]
    announce(f"{host}:{port}")
    cfg = HttpServerSettings(
        _MAX_HEADER_BYTES, _MAX_BODY_BYTES, lambda _: True, lambda _: None
    )
    await serve_http(listener, cfg, _handle, _handle_bad_request)


def main(argv: Sequence[str]) -> None:
    """Run the server with the flags in `argv`."""
    flag_values = new_flags()
    flags.DEFINE_string(
        "ip", "127.0.0.1", "IP address to listen on.", flag_values=flag_values
    )
    parse_flags(flag_values, argv, __doc__ or "")
    trio.run(run_echo, str(flag_values["ip"].value))


if __name__ == "__main__":
    main(sys.argv)
