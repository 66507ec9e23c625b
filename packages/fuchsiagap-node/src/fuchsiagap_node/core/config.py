"""Settings of a node, read from an INI file and ``--set`` flags that override it."""

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
from fuchsiagap.core.settings.ini import Entry, ParsedIni, Section, read_ini
from fuchsiagap.core.settings.schema import (
    describe_unknown_name,
    read_entries,
    with_defaults,
)
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
    """Addresses the node listens on.

    Parameters
    ----------
    callers, peers, admin : str
        ``IP:PORT`` for callers, for other nodes and for operators.
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
        Team and service of which it is an instance.
    address : str
        ``IP:PORT`` it listens on.
    slots : int
        Calls it can run concurrently; the initial concurrency limit.
    connections : int
        Maximum number of connections to it.
    """

    team: str
    service: str
    address: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Address and timeouts of the platform's object API.

    Parameters
    ----------
    url : str
        Base URL as ``http://IP:PORT``.
    timeout : float
        Time limit of a request in milliseconds.
    watch_wait : float
        Time in milliseconds after which an empty watch request ends and is repeated.
    """

    url: str
    timeout: Milliseconds
    watch_wait: Milliseconds


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """Other nodes to contact at the start.

    Parameters
    ----------
    first : tuple of str
        ``IP:PORT`` of the nodes to contact first.
    """

    first: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LimitsConfig:
    """Resource limits for callers and other nodes.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the headers of a request, and of the body of a request or
        response, in bytes.
    open_calls, open_body_bytes : int
        Maximum number of open calls of all callers, and total size of their bodies in
        bytes.
    link_calls : int
        Maximum number of concurrent calls from one other node.
    link_queue_frames : int
        Maximum number of frames queued for sending to one other node.
    """

    header_bytes: int
    body_bytes: int
    open_calls: int
    open_body_bytes: int
    link_calls: int
    link_queue_frames: int


@dataclass(frozen=True, slots=True)
class AdminConfig:
    """Settings of the operators' API.

    Parameters
    ----------
    token_digest : str
        Hexadecimal SHA-256 of the operators' token; empty if there is none.
    """

    token_digest: str


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """Settings of a node.

    Parameters
    ----------
    name : str
        Name of the node.
    host : str
        Name of its host.
    data_centre : str
        Name of its data centre.
    listen, backend, platform, peers, limits, admin, telemetry
        One object for each section of the INI file.
    gate, membership, retries, routing, tickets
        Settings of the components; not in the INI file, varied by tests and benchmarks.
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
        """Address on which other nodes reach this one."""
        return self.listen.peers

    def with_addresses(self, callers: str, peers: str, admin: str) -> NodeConfig:
        """Return the same settings with the bound addresses.

        An address differs from the one in the settings only if that has port 0.

        Parameters
        ----------
        callers : str
            Bound ``IP:PORT`` of the listener for callers.
        peers : str
            Bound ``IP:PORT`` of the listener for peers.
        admin : str
            Bound ``IP:PORT`` of the admin listener.
        """
        return replace(self, listen=ListenConfig(callers, peers, admin))

    def self_member(self, incarnation: int) -> Member:
        """Return this node as a member of the cluster.

        Parameters
        ----------
        incarnation : int
            Incarnation of the process.
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
    """Faults of invalid settings, with which the node does not start.

    Parameters
    ----------
    path : str
        Path of the file.
    faults : tuple of Fault
        All faults; never empty.
    """

    path: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


def parse_node_config(
    text: str, path: str, overrides: Sequence[str] = ()
) -> NodeConfig | ConfigFaults:
    """Parse and validate the settings of a node.

    Parameters
    ----------
    text : str
        Text of the INI file.
    path : str
        Path of the file, named in the faults.
    overrides : sequence of str
        ``SECTION.KEY=VALUE`` items from the command line; they override the file.

    Returns
    -------
    NodeConfig or ConfigFaults
        The settings, or all faults.
    """
    ini = apply_overrides(read_ini(path, text), overrides)
    faults = list(ini.faults)
    sections = {section.name: section for section in ini.sections}
    for section in ini.sections:
        if section.name not in NODE_SCHEMAS:
            expected = describe_unknown_name(
                section.name, list(NODE_SCHEMAS), "a section of these"
            )
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


def apply_overrides(ini: ParsedIni, overrides: Sequence[str]) -> ParsedIni:
    """Return a parsed INI text with entries replaced or added.

    Parameters
    ----------
    ini : ParsedIni
        The parsed text.
    overrides : sequence of str
        ``SECTION.KEY=VALUE`` items; a later one overrides an earlier one. An
        underscore in a key means a space.

    Returns
    -------
    ParsedIni
        The text with the overrides, and a fault for each malformed item.
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
    return ParsedIni(sections, tuple(faults))


def _find_address_conflicts(
    path: str, section_values: dict[str, dict[str, Any]]
) -> list[Fault]:
    """Return faults for addresses that are unusable or used twice."""
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
