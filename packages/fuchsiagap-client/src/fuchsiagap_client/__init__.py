"""Client library that sends requests to nodes and retries them safely.

Every request ends as `Answered`, as `Refused` (it did not run and never will), or as
`Unknown` (it may have run).

Examples
--------
>>> import trio
>>> from fuchsiagap_client import Answered, Refused, Unknown
>>> from fuchsiagap_client import ClientSettings, Request, open_client
>>> async def main() -> None:
...     cfg = ClientSettings(nodes=("10.0.0.1:8080", "10.0.1.1:8080"))
...     async with open_client(cfg) as client:
...         outcome = await client.send(Request("POST", "/salt-fog/certs/issue"))
...     match outcome:
...         case Answered(status, headers, body):
...             print(status, len(body))
...         case Refused(reason, retry_after):
...             print("not run:", reason, retry_after)
...         case Unknown(reason):
...             print("may have run:", reason)
>>> trio.run(main)  # doctest: +SKIP
"""

from __future__ import annotations

from fuchsiagap import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap_client.core.client import Client, open_client
from fuchsiagap_client.core.request import Request
from fuchsiagap_client.core.settings import ClientSettings, InvalidClientSettings

__all__ = [
    "Answered",
    "Client",
    "ClientSettings",
    "InvalidClientSettings",
    "Outcome",
    "Reason",
    "Refused",
    "Request",
    "Unknown",
    "open_client",
]
