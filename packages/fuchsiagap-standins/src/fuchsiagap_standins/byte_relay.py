"""Plain TCP relay on `trio`: a lower bound for the latency that a proxy adds.

It neither parses HTTP nor makes decisions, so the additional latency of a call through
two relays over a direct call is the cost of sockets and scheduling alone.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import trio
from absl import flags

from fuchsiagap_standins.command_line import new_flags, parse_flags
from fuchsiagap_standins.serving import announce

if TYPE_CHECKING:
    from collections.abc import Sequence


async def _copy(source: trio.SocketStream, target: trio.SocketStream) -> None:
    async for data in source:
        await target.send_all(data)
    await target.send_eof()


async def run_relay(ip: str, target: str) -> None:
    """Relay every connection until the process is terminated.

    Parameters
    ----------
    ip : str
        IP address to listen on, at a free port.
    target : str
        ``IP:PORT`` to relay to.
    """
    host, _, port = target.rpartition(":")

    async def relay_connection(client: trio.SocketStream) -> None:
        server = await trio.open_tcp_stream(host, int(port))
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(_copy, client, server)
            nursery.start_soon(_copy, server, client)

    listener = (await trio.open_tcp_listeners(0, host=ip))[0]
    address = listener.socket.getsockname()
    announce(f"{address[0]}:{address[1]}")
    await trio.serve_listeners(relay_connection, [listener])


def main(argv: Sequence[str]) -> None:
    """Run the relay with the flags in `argv`."""
    flag_values = new_flags()
    flags.DEFINE_string(
        "ip", "127.0.0.1", "IP address to listen on.", flag_values=flag_values
    )
    flags.DEFINE_string("to", "", "IP:PORT to relay to.", flag_values=flag_values)
    parse_flags(flag_values, argv, __doc__ or "")
    trio.run(run_relay, str(flag_values["ip"].value), str(flag_values["to"].value))


if __name__ == "__main__":
    main(sys.argv)
