"""A node's own settings: one INI file, and flags that override it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.admission.settings import GateSettings
from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.membership.member import Member
from fuchsiagap.core.membership.settings import MembershipSettings
from fuchsiagap.core.retries.budget import RetrySettings
from fuchsiagap.core.routing.instance import RoutingSettings
from fuchsiagap.core.settings.faults import Fault
from fuchsiagap.core.settings.ini import Entry, IniText, Section, read_ini
from fuchsiagap.core.settings.keys import read_entries, unknown, with_defaults
from fuchsiagap.core.telemetry.telemetry import TelemetrySettings
from fuchsiagap.core.tickets.settings import TicketSettings
from fuchsiagap_node.core.config_schema import NODE_SCHEMAS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap.core.clock import Milliseconds

_WILDCARD_HOSTS = ("0.0.0.0", "[::]")
_OVERRIDE_FLAG = "--set"


@dataclass(frozen=True, slots=True)
class ListenConfig:
    """Where the node listens, each as ``IP:PORT``.

    Parameters
    ----------
    callers, peers, admin : str
        For callers, other nodes and operators.
    """

    callers: str
    peers: str
    admin: str


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """The backend server on the same host.

    Parameters
    ----------
    team, service : str
        What it is an instance of.
    address : str
        ``IP:PORT`` where it listens.
    slots : int
        Calls it can work on at once; a start value.
    connections : int
        Most connections to it.
    """

    team: str
    service: str
    address: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The platform's object API.

    Parameters
    ----------
    url : str
        ``http://IP:PORT``.
    timeout : float
        Milliseconds within which a call has to be answered.
    watch_wait : float
        Milliseconds a watch waits before it asks anew.
    """

    url: str
    timeout: Milliseconds
    watch_wait: Milliseconds


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """Other nodes.

    Parameters
    ----------
    first : tuple of str
        ``IP:PORT`` of the nodes to ask first.
    """

    first: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LimitsConfig:
    """What callers and other nodes may hold.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Of one request or answer.
    open_calls, open_body_bytes : int
        Of all callers at one time.
    link_calls : int
        Calls of one other node that may run here at one time.
    link_queue_frames : int
        Frames that may wait to be sent to one other node.
    """

    header_bytes: int
    body_bytes: int
    open_calls: int
    open_body_bytes: int
    link_calls: int
    link_queue_frames: int


@dataclass(frozen=True, slots=True)
class AdminConfig:
    """The operators' API.

    Parameters
    ----------
    token_digest : str
        SHA-256 of the token that may create teams; empty for nobody.
    """

    token_digest: str


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """A node's own settings.

    Parameters
    ----------
    name : str
        Name of the node.
    host : str
        Name of its host.
    data_centre : str
        Its data centre.
    listen, backend, platform, peers, limits, admin, telemetry
        One for each section of the INI file.
    gate, membership, retries, routing, tickets
        Settings of the aggregates; tests and benchmarks vary them.
    """

    name: str
    host: str
    data_centre: str
    listen: ListenConfig
    backend: BackendConfig
    platform: PlatformConfig
    peers: PeersConfig
    limits: LimitsConfig
    admin: AdminConfig
    telemetry: TelemetrySettings
    gate: GateSettings = field(default_factory=GateSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    retries: RetrySettings = field(default_factory=RetrySettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    tickets: TicketSettings = field(default_factory=TicketSettings)

    @property
    def service(self) -> ServiceName:
        """The service of the backend server."""
        return ServiceName(self.backend.team, self.backend.service)

    @property
    def peer_address(self) -> str:
        """Where other nodes reach this one."""
        return self.listen.peers

    def with_addresses(self, callers: str, peers: str, admin: str) -> NodeConfig:
        """Return the same settings with the addresses that were bound.

        Parameters
        ----------
        callers, peers, admin : str
            ``IP:PORT`` of each, with the port taken where the file says port 0.
        """
        return replace(self, listen=ListenConfig(callers, peers, admin))

    def self_member(self, incarnation: int) -> Member:
        """Return this node as it describes itself to others.

        Parameters
        ----------
        incarnation : int
            The life of the process.
        """
        return Member(
            node=self.name,
            incarnation=incarnation,
            address=self.listen.peers,
            data_centre=self.data_centre,
            services=(self.service,),
            admin_address=self.listen.admin,
        )


@dataclass(frozen=True, slots=True)
class ConfigFaults:
    """The node's settings are not valid; the node does not start.

    Parameters
    ----------
    path : str
        The file.
    faults : tuple of Fault
        Every fault at once; never empty.
    """

    path: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


def parse_node_config(
    text: str, path: str, overrides: Sequence[str] = ()
) -> NodeConfig | ConfigFaults:
    """Read a node's settings.

    Parameters
    ----------
    text : str
        Text of the INI file.
    path : str
        The file, for the faults.
    overrides : sequence of str
        ``SECTION.KEY=VALUE`` items from the command line; they win over the file.

    Returns
    -------
    NodeConfig or ConfigFaults
        The settings, or every fault at once.
    """
    ini = apply_overrides(read_ini(path, text), overrides)
    faults = list(ini.faults)
    sections = {section.name: section for section in ini.sections}
    for section in ini.sections:
        if section.name not in NODE_SCHEMAS:
            expected = unknown(section.name, list(NODE_SCHEMAS), "a section of these")
            faults.append(Fault(path, section.name, "", "", expected, section.line))
    section_values: dict[str, dict[str, Any]] = {}
    for name, schema in NODE_SCHEMAS.items():
        section = sections.get(name, Section(name, 0, ()))
        parsed = read_entries(path, schema, section, faults)
        section_values[name] = with_defaults(path, schema, section, parsed, faults)
    faults.extend(_find_address_conflicts(path, section_values))
    if faults:
        return ConfigFaults(path, tuple(sorted(faults, key=lambda f: f.line)))
    backend = BackendConfig(**section_values["backend"])
    return NodeConfig(
        **section_values["node"],
        listen=ListenConfig(**section_values["listen"]),
        backend=backend,
        platform=PlatformConfig(**section_values["platform"]),
        peers=PeersConfig(**section_values["peers"]),
        limits=LimitsConfig(**section_values["limits"]),
        admin=AdminConfig(**section_values["admin"]),
        telemetry=TelemetrySettings(**section_values["telemetry"]),
        gate=GateSettings(start_limit=backend.slots),
    )


def apply_overrides(ini: IniText, overrides: Sequence[str]) -> IniText:
    """Return an INI text with entries replaced or added.

    Parameters
    ----------
    ini : IniText
        The text as read.
    overrides : sequence of str
        ``SECTION.KEY=VALUE`` items; a later one wins over an earlier one. An
        underscore in a key stands for a space.

    Returns
    -------
    IniText
        With a fault for each item of another form.
    """
    entries = {
        section.name: {entry.key: entry for entry in section.entries}
        for section in ini.sections
    }
    lines = {section.name: section.line for section in ini.sections}
    faults = list(ini.faults)
    for item in overrides:
        location, equals, value = item.partition("=")
        name, dot, key = location.strip().partition(".")
        key = key.replace("_", " ").lower()
        if not (equals and dot and name and key):
            faults.append(Fault(_OVERRIDE_FLAG, "", "", item, "SECTION.KEY=VALUE"))
            continue
        entries.setdefault(name, {})[key] = Entry(key, value.strip(), 0, _OVERRIDE_FLAG)
    sections = tuple(
        Section(name, lines.get(name, 0), tuple(section_entries.values()))
        for name, section_entries in entries.items()
    )
    return IniText(sections, tuple(faults))


def _find_address_conflicts(
    path: str, section_values: dict[str, dict[str, Any]]
) -> list[Fault]:
    """Find addresses that cannot work together."""
    faults = []
    key_by_address: dict[str, str] = {}
    for key, address in section_values["listen"].items():
        if key == "peers" and address.startswith(_WILDCARD_HOSTS):
            expected = "an address that other nodes can dial"
            faults.append(Fault(path, "listen", key, address, expected))
        if address in key_by_address and not address.endswith(":0"):
            expected = f"another address than that of {key_by_address[address]!r}"
            faults.append(Fault(path, "listen", key, address, expected))
        key_by_address.setdefault(address, key)
    backend = section_values["backend"].get("address", "")
    if backend in key_by_address:
        expected = f"another address than [listen] {key_by_address[backend]}"
        faults.append(Fault(path, "backend", "address", backend, expected))
    if backend.endswith(":0"):
        expected = "a port from 1 to 65535"
        faults.append(Fault(path, "backend", "address", backend, expected))
    return faults
