"""Value types of settings: parsers with a description of the valid values."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

_DURATION = re.compile(r"(?P<number>[0-9]+(\.[0-9]+)?)\s*(?P<unit>ms|s)")
_SIZE = re.compile(r"(?P<number>[0-9]+)\s*(?P<unit>B|KB|MB)", re.IGNORECASE)
_BYTES_PER = {"b": 1, "kb": 1024, "mb": 1024 * 1024}
_DIGEST = re.compile(r"[0-9a-f]{64}")
_FLAG_WORDS = {"yes": True, "true": True, "on": True}
_FLAG_WORDS |= {"no": False, "false": False, "off": False}
NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class BadValue:
    """Marker that a read function returns for a value that is not valid."""


BAD_VALUE = BadValue()


@dataclass(frozen=True, slots=True)
class ValueType:
    """Type of the values of a key.

    Parameters
    ----------
    expected : str
        Description of the valid values, which follows "expected" in error messages.
    read : callable
        Function that parses a text and returns the value, or `BAD_VALUE`.
    """

    expected: str
    read: Callable[[str], Any]


def integer(low: int, high: int) -> ValueType:
    """Return the type of integers from `low` to `high`, both included."""

    def read(text: str) -> int | BadValue:
        if not re.fullmatch(r"-?[0-9]{1,15}", text):
            return BAD_VALUE
        number = int(text)
        return number if low <= number <= high else BAD_VALUE

    return ValueType(f"a whole number from {low} to {high}", read)


def number(low: float, high: float, **words: float) -> ValueType:
    """Return the type of numbers from `low` to `high`, some named by `words`."""

    def read(text: str) -> float | BadValue:
        if text in words:
            return words[text]
        if not re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text):
            return BAD_VALUE
        value = float(text)
        return value if low <= value <= high else BAD_VALUE

    named = "".join(f", or {word} ({value:g})" for word, value in words.items())
    return ValueType(f"a number from {low:g} to {high:g}{named}", read)


def duration(low_ms: float, high_ms: float) -> ValueType:
    """Return the type of durations, written ``250ms`` or ``2s``, in milliseconds."""

    def read(text: str) -> float | BadValue:
        found = _DURATION.fullmatch(text)
        if found is None:
            return BAD_VALUE
        value = float(found["number"])
        if found["unit"] == "s":
            value *= MS_PER_S
        return value if low_ms <= value <= high_ms else BAD_VALUE

    expected = (
        f"a time with its unit, such as 250ms or 2s, from {low_ms:g}ms to"
        f" {high_ms / MS_PER_S:g}s"
    )
    return ValueType(expected, read)


def size(low: int, high: int) -> ValueType:
    """Return the type of sizes, written ``64MB``, ``16KB`` or ``512B``, in bytes."""

    def read(text: str) -> int | BadValue:
        found = _SIZE.fullmatch(text)
        if found is None:
            return BAD_VALUE
        value = int(found["number"]) * _BYTES_PER[found["unit"].lower()]
        return value if low <= value <= high else BAD_VALUE

    expected = (
        f"a size with its unit, such as 512B, 16KB or 64MB, from {low} to {high} bytes"
    )
    return ValueType(expected, read)


def _read_flag(text: str) -> bool | BadValue:
    return _FLAG_WORDS.get(text.lower(), BAD_VALUE)


def _read_name(text: str) -> str | BadValue:
    return text if NAME.fullmatch(text) else BAD_VALUE


def parse_address(text: str) -> str | BadValue:
    """Return ``IP:PORT`` in canonical form, or `BAD_VALUE`."""
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return BAD_VALUE
    if not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAX_PORT:
        return BAD_VALUE
    if ip.version == 6:
        return f"[{ip}]:{int(port)}" if host.startswith("[") else BAD_VALUE
    return f"{ip}:{int(port)}"


def _read_addresses(text: str) -> tuple[str, ...] | BadValue:
    found = []
    for item in split_list(text):
        address = parse_address(item)
        if isinstance(address, BadValue) or address in found:
            return BAD_VALUE
        found.append(address)
    return tuple(found)


def _read_url(text: str) -> str | BadValue:
    if not text.startswith("http://"):
        return BAD_VALUE
    address = parse_address(text.removeprefix("http://").removesuffix("/"))
    return BAD_VALUE if isinstance(address, BadValue) else f"http://{address}"


def _read_digest(text: str) -> str | BadValue:
    return text if _DIGEST.fullmatch(text) else BAD_VALUE


def split_list(text: str) -> list[str]:
    """Split a value at commas and line breaks, without empty items."""
    return [item.strip() for item in re.split(r"[,\n]", text) if item.strip()]


FLAG = ValueType("yes or no", _read_flag)
PLAIN_NAME = ValueType(
    "a name of 1 to 63 lower-case letters, digits and inner hyphens", _read_name
)
ADDRESS = ValueType("IP:PORT, such as 127.0.0.1:8080 or [::1]:8080", parse_address)
ADDRESSES = ValueType("IP:PORT items, separated by commas, none twice", _read_addresses)
URL = ValueType("http://IP:PORT", _read_url)
DIGEST = ValueType("a SHA-256 digest of 64 hexadecimal digits", _read_digest)


def optional(value_type: ValueType, missing: Any = None) -> ValueType:
    """Return a type that also accepts an empty text, parsed as `missing`."""

    def read(text: str) -> Any:
        return value_type.read(text) if text else missing

    return ValueType(f"{value_type.expected}, or nothing", read)
