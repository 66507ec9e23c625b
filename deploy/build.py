"""Build of the node for the platform: its code and libraries under ``target/deps``.

A build is identified by the digests of the sources, of the requirements and of the
interpreter, not by modification times. It is made in a folder of its own and takes the
place of the one before as a whole. Imports the standard library only.
"""

from __future__ import annotations

import argparse
import compileall
import fcntl
import hashlib
import importlib.util
import json
import os
import py_compile
import re
import shutil
import subprocess
import sys
import sysconfig
import urllib.request
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = {
    "fuchsiagap": ROOT / "packages/fuchsiagap/src/fuchsiagap",
    "fuchsiagap_node": ROOT / "packages/fuchsiagap-node/src/fuchsiagap_node",
    "fuchsiagap_platform": ROOT / "platform/src/fuchsiagap_platform",
}
REQUIREMENTS = (ROOT / "requirements.txt", ROOT / "constraints.txt")
TARGET = ROOT / "target"
DEPS = TARGET / "deps"
# Folder in which a build is made, and the build that it replaces until that is removed.
_STAGING = TARGET / "deps.new"
_REPLACED = TARGET / "deps.old"
_LOCK = TARGET / "build.lock"
# File in a build that holds the digests of what it was made of.
_RECORD = "build.json"
_MIN_PYTHON = (3, 11)
# Flags in the header of byte code that is used whatever its source holds.
_UNCHECKED_HASH = b"\x01\0\0\0"
_METRICS_TIMEOUT_S = 5.0
_BUILD_METRIC = re.compile(r'fuchsiagap_build_info\{.*digest="([^"]*)"')


class BuildError(Exception):
    """The build failed; the message names what is missing."""


def _load_build_info() -> Any:
    """Load the module that defines the digest from the sources, not as installed."""
    path = PACKAGES["fuchsiagap"] / "core" / "build_info.py"
    spec = importlib.util.spec_from_file_location("fuchsiagap_build_info", path)
    if spec is None or spec.loader is None or not path.exists():
        raise BuildError(f"{path}: not found, the checkout is incomplete")
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


def _digest_libraries() -> str:
    """Return a digest of the requirements and of the interpreter's binary interface."""
    digest = hashlib.sha256()
    for path in REQUIREMENTS:
        digest.update(path.read_bytes() + b"\0")
    digest.update(importlib.util.MAGIC_NUMBER)
    digest.update(f"{sysconfig.get_config_var('SOABI')} {sys.platform}".encode())
    return digest.hexdigest()


def _is_byte_code(path: Path) -> bool:
    """Whether a file is byte code that is used only beside its source."""
    return path.suffix == ".pyc" and path.parent.name == "__pycache__"


def _is_unchecked_byte_code(path: Path) -> bool:
    """Whether this interpreter uses a file without a look at its source (PEP 552)."""
    is_own = path.stem.endswith(f".{sys.implementation.cache_tag}")
    if not (_is_byte_code(path) and is_own):
        return False
    with path.open("rb") as file:
        header = file.read(8)
    return header[4:] == _UNCHECKED_HASH


def _inputs(sources: str) -> dict[str, str]:
    """Return the digests of all that a build is made from, as its record holds them."""
    return {
        "sources": sources,
        "libraries": _digest_libraries(),
        "builder": hashlib.sha256(Path(__file__).read_bytes()).hexdigest(),
    }


def _digest_files(folder: Path) -> str:
    """Return a digest of the paths and sizes of all files of a build.

    Byte code is left out: the interpreter makes it anew where it is missing.
    """
    digest = hashlib.sha256()
    for path in sorted(folder.rglob("*")):
        if path.name == _RECORD or _is_byte_code(path):
            continue
        if path.is_file():
            entry = f"{path.relative_to(folder).as_posix()}\0{path.stat().st_size}\0"
            digest.update(entry.encode())
    return digest.hexdigest()


def _measure_byte_code(folder: Path) -> dict[str, int]:
    """Return the size of each file with unchecked byte code in a build."""
    return {
        path.relative_to(folder).as_posix(): path.stat().st_size
        for path in sorted(folder.rglob("*.pyc"))
        if _is_unchecked_byte_code(path)
    }


def _read_record(folder: Path) -> dict[str, Any]:
    """Return the record of a build; empty if there is none or it is damaged."""
    try:
        record = json.loads((folder / _RECORD).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return {}
    return record if isinstance(record, dict) else {}


def _is_intact(folder: Path) -> bool:
    """Whether no file of a build was added, removed or cut since it was made.

    Byte code may be missing, and the interpreter may have made it anew.
    """
    record = _read_record(folder)
    compiled = record.get("byte_code", {})
    return record.get("files") == _digest_files(folder) and all(
        compiled.get(path, size) == size
        for path, size in _measure_byte_code(folder).items()
    )


def _has_byte_code() -> bool:
    """Whether all byte code of the last build is there."""
    return (
        _read_record(DEPS).get("byte_code", {}).keys()
        <= _measure_byte_code(DEPS).keys()
    )


def is_current(sources: str) -> bool:
    """Whether ``target/deps`` holds a whole build of these sources and requirements.

    Parameters
    ----------
    sources : str
        Digest of the sources.
    """
    if not _read_record(DEPS).items() >= _inputs(sources).items():
        return False
    installed = {name: DEPS / name for name in PACKAGES}
    return _load_build_info().digest_sources(installed) == sources and _is_intact(DEPS)


@contextmanager
def _build_lock() -> Iterator[None]:
    """Wait until no other build of this checkout is running."""
    try:
        TARGET.mkdir(exist_ok=True)
        file = _LOCK.open("w")
    except OSError as exc:
        raise BuildError(f"{TARGET}: cannot be written: {exc.strerror}") from exc
    with file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def _remove(folder: Path) -> None:
    if folder.exists():
        shutil.rmtree(folder)


def _install_libraries() -> None:
    """Install the libraries, or copy those of the last build if they fit."""
    record = _read_record(DEPS)
    if record.get("libraries") == _digest_libraries() and _is_intact(DEPS):
        shutil.copytree(
            DEPS, _STAGING, symlinks=True, ignore=lambda *_: {*PACKAGES, _RECORD}
        )
        return
    command = [
        *(sys.executable, "-m", "pip", "install", "-q", "--disable-pip-version-check"),
        *("--no-cache-dir", "--target", str(_STAGING)),
        *("-c", str(ROOT / "constraints.txt"), "-r", str(ROOT / "requirements.txt")),
    ]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if result.returncode != 0:
        lines = result.stderr.strip().splitlines()
        errors = [line for line in lines if "error" in line.lower()] or lines[-1:]
        raise BuildError(
            "the libraries of requirements.txt cannot be installed: "
            f"{' '.join(errors[-2:])} (command: {' '.join(command)})"
        )


def _install_packages(sources: str, record_module: str) -> None:
    """Copy the packages without their tests into the staging folder."""
    info = _load_build_info()
    for name, folder in PACKAGES.items():
        for path in info.list_sources(folder):
            copy = _STAGING / name / path.relative_to(folder)
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(path, copy)
    (_STAGING / "fuchsiagap" / f"{record_module}.py").write_text(
        f'"""Written by the build."""\n\nDIGEST = "{sources}"\n', encoding="utf-8"
    )


def _restore_build() -> None:
    """Remove what a build that was cut off has left, but for the last whole one."""
    _remove(_STAGING)
    if _REPLACED.exists() and not DEPS.exists():
        _REPLACED.rename(DEPS)
    _remove(_REPLACED)


def _replace_build() -> None:
    """Let the staging folder take the place of the last build."""
    if DEPS.exists():
        DEPS.rename(_REPLACED)
    _STAGING.rename(DEPS)
    _remove(_REPLACED)


def build() -> None:
    """Bring ``target/deps`` up to date with the sources; raises `BuildError`."""
    info = _load_build_info()
    is_tidy = not (_STAGING.exists() or _REPLACED.exists())
    if is_tidy and is_current(info.digest_sources(PACKAGES)) and _has_byte_code():
        return
    with _build_lock():
        _restore_build()
        sources = info.digest_sources(PACKAGES)
        if is_current(sources) and _has_byte_code():
            return
        _install_libraries()
        _install_packages(sources, info.RECORD_MODULE)
        # Byte code that is valid by itself: a copy of the build has other modification
        # times, and each process would compile all modules again.
        compileall.compile_dir(
            _STAGING,
            quiet=2,
            force=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        record = {
            **_inputs(sources),
            "files": _digest_files(_STAGING),
            "byte_code": _measure_byte_code(_STAGING),
        }
        (_STAGING / _RECORD).write_text(json.dumps(record), encoding="utf-8")
        _replace_build()


def _read_running_digest(url: str) -> str:
    """Return the digest that a node shows at the URL of its metrics."""
    # A proxy of the environment does not reach nodes on loopback addresses.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(url, timeout=_METRICS_TIMEOUT_S) as response:
            text = response.read().decode("utf-8", "replace")
    except (OSError, ValueError) as exc:
        return f"unknown ({exc})"
    found = _BUILD_METRIC.search(text)
    return found[1] if found else "unknown (the metrics have no fuchsiagap_build_info)"


def check(urls: Sequence[str]) -> bool:
    """Print the digests of sources, build and running nodes; return if all agree.

    Parameters
    ----------
    urls : sequence of str
        Metrics of running nodes.
    """
    sources = _load_build_info().digest_sources(PACKAGES)
    print(f"{sources}  sources of {ROOT}")
    digests = {"target/deps": _read_record(DEPS).get("sources", "not built")}
    if DEPS.exists() and not is_current(sources):
        digests["target/deps"] += " (other code, libraries or Python)"
    digests.update({url: _read_running_digest(url) for url in urls})
    for place, digest in digests.items():
        print(f"{digest}  {place}")
    return set(digests.values()) == {sources}


def main(argv: Sequence[str]) -> int:
    """Run the command line; return the exit code, one of ``sysexits.h``."""
    parser = argparse.ArgumentParser(prog="deploy/build.sh", description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare, build nothing")
    parser.add_argument("urls", nargs="*", metavar="URL", help="metrics of a node")
    args = parser.parse_args(argv)
    if sys.version_info < _MIN_PYTHON:
        found = ".".join(map(str, sys.version_info[:3]))
        print(f"deploy/build.sh: got Python {found}, expected 3.11", file=sys.stderr)
        return os.EX_UNAVAILABLE
    try:
        if args.check:
            return 0 if check(args.urls) else 1
        build()
    except (BuildError, OSError) as exc:
        print(f"deploy/build.sh: {exc}", file=sys.stderr)
        return os.EX_UNAVAILABLE
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
