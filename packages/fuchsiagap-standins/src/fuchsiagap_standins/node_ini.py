"""The settings file of a node, for real processes and for nodes in memory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.settings.tokens import digest_of

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class HostSpec:
    """One host: a node and its backend server.

    Parameters
    ----------
    node : str
        Name of the node; its backend server is called the same with ``-backend``.
    service : str
        The service.
    data_centre : str
        Where the host stands.
    callers, peers, admin : str
        ``IP:PORT`` where the node listens.
    """

    node: str
    service: str
    data_centre: str
    callers: str
    peers: str
    admin: str

    @property
    def backend(self) -> str:
        """Name of the backend server's process."""
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
    """Return the settings file of a node.

    Parameters
    ----------
    host_spec : HostSpec
        The node, and where it listens.
    team : str
        Team of its service.
    backend, platform : str
        ``IP:PORT`` of its backend server and of the platform.
    first : iterable of str
        Peer addresses of the nodes to ask first.
    operators_token : str
        Token of the operators; empty for none.
    **backend_keys
        Further keys of ``[backend]``, for example ``slots``.

    Returns
    -------
    str
        An INI text.
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
    if asked_first := ", ".join(first):
        lines += ["[peers]", f"first = {asked_first}"]
    if operators_token:
        lines += ["[admin]", f"token digest = {digest_of(operators_token)}"]
    return "\n".join(lines) + "\n"
