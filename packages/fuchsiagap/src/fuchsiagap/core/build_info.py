"""Identity of the code that runs: its version and a digest of its sources.

Imports the standard library only, so that a build can compute the digest of a checkout
before any library is installed.
"""

from __future__ import annotations

import functools
import importlib
import importlib.util
import platform
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

VERSION = "0.1.0"
# Packages whose code a node runs. Those that are installed make up the digest.
NODE_PACKAGES = ("fuchsiagap", "fuchsiagap_node", "fuchsiagap_platform")
# Module with the digest of the installed sources, which a build writes into the
# `fuchsiagap` package, so that a node does not read them all when it starts.
RECORD_MODULE = "_build"
_TESTS = "tests"
_DIGEST_LENGTH = 16


@dataclass(frozen=True, slots=True)
class BuildInfo:
    """Identity of a build.

    Parameters
    ----------
    version : str
        Version of the release.
    digest : str
        Digest of the sources, see `digest_sources`.
    python : str
        Version of the interpreter.
    """

    version: str
    digest: str
    python: str

    def __str__(self) -> str:
        return f"fuchsiagap {self.version}, sources {self.digest}, Python {self.python}"


def list_sources(package: Path) -> list[Path]:
    """Return the modules of a package without its tests, sorted by path.

    Parameters
    ----------
    package : Path
        Folder of the package.
    """
    return sorted(
        path
        for path in package.rglob("*.py")
        if _TESTS not in path.relative_to(package).parts
        and path != package / f"{RECORD_MODULE}.py"
    )


def digest_sources(packages: Mapping[str, Path]) -> str:
    """Return a digest of the paths and contents of the modules of some packages.

    Times, byte code and the place of the packages do not count.

    Parameters
    ----------
    packages : mapping of str to Path
        Folder of each package by its import name.

    Returns
    -------
    str
        Hexadecimal digits.
    """
    import hashlib

    digest = hashlib.sha256()
    for name, folder in sorted(packages.items()):
        for path in list_sources(folder):
            content = path.read_bytes()
            header = f"{name}/{path.relative_to(folder).as_posix()}\0{len(content)}\0"
            digest.update(header.encode() + content)
    return digest.hexdigest()[:_DIGEST_LENGTH]


def find_packages() -> dict[str, Path]:
    """Return the folders of the installed packages of `NODE_PACKAGES` by name."""
    found = {}
    for name in NODE_PACKAGES:
        spec = importlib.util.find_spec(name)
        if spec is not None and spec.origin is not None:
            found[name] = Path(spec.origin).parent
    return found


@functools.cache
def build_info() -> BuildInfo:
    """Return the identity of the code of this process.

    The digest is the one that the build has recorded, or that of the sources if they
    are used from a checkout.
    """
    try:
        record = importlib.import_module(f"fuchsiagap.{RECORD_MODULE}")
        digest = str(record.DIGEST)
    except ModuleNotFoundError:
        digest = digest_sources(find_packages())
    return BuildInfo(VERSION, digest, platform.python_version())
