"""Settings files of nodes, for processes and in-memory nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.settings.tokens import digest_of

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class HostSpec:
    """Host with a node and its backend server.

    Parameters
    ----------
    node : str
        Name of the node.
    service : str
        Service of the backend server.
    data_centre : str
        Data centre of the host.
    callers, peers, admin : str
        ``IP:PORT`` at which the node listens for callers, other nodes and operators.
    """

    node: str
    service: str
    data_centre: str
    callers: str
    peers: str
    admin: str

    @property
    def backend(self) -> str:
        """Name of the backend server's process: the node's name and ``-backend``."""
        return f"{self.node}-backend"


def node_ini(
    host_spec: HostSpec,
    *,
    team: str,
    backend: str,
    platform: str,
    first: Iterable[str] = (),
    operators_token: str = "",
    **backend_keys: int,
) -> str:
    """Return the text of a node's settings file.

    Parameters
    ----------
    host_spec : HostSpec
        The node and the addresses at which it listens.
    team : str
        Team that owns the service.
    backend : str
        ``IP:PORT`` of the backend server.
    platform : str
        ``IP:PORT`` of the platform.
    first : iterable of str
        Peer addresses that the node contacts first.
    operators_token : str
        Operators' token for the admin port; empty if there is none.
    **backend_keys
        Further keys of section ``[backend]``, for example ``slots``.

    Returns
    -------
    str
        Settings in INI format.
    """
    lines = [
        "[node]",
        f"name = {host_spec.node}",
        f"host = {host_spec.node}-host",
        f"data centre = {host_spec.data_centre}",
        "[listen]",
        f"callers = {host_spec.callers}",
        f"peers = {host_spec.peers}",
        f"admin = {host_spec.admin}",
        "[backend]",
        f"team = {team}",
        f"service = {host_spec.service}",
        f"address = {backend}",
        *(f"{key} = {value}" for key, value in backend_keys.items()),
        "[platform]",
        f"url = http://{platform}",
    ]
    if first_peers := ", ".join(first):
        lines += ["[peers]", f"first = {first_peers}"]
    if operators_token:
        lines += ["[admin]", f"token digest = {digest_of(operators_token)}"]
    return "\n".join(lines) + "\n"
