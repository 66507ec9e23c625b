"""Command ``fuchsiagap-node``, which runs a node."""

from __future__ import annotations

import gc
import logging
import random
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from absl import app, flags

from fuchsiagap.core.build_info import build_info
from fuchsiagap_node.core.config import ConfigFaults, parse_node_config
from fuchsiagap_node.core.logs import set_up_logs
from fuchsiagap_node.core.process import run_process

if TYPE_CHECKING:
    from fuchsiagap_node.core.config import NodeConfig

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
# Net allocations that start a collection of the youngest generation, and collections of
# a generation that start one of the next older.
_GC_THRESHOLDS = (20_000, 20, 50)

_CONFIG = flags.DEFINE_string("config", None, "INI file with the node's settings")
_SET = flags.DEFINE_multi_string(
    "set", [], "section.key=value that overrides the file; may be repeated"
)
_CHECK = flags.DEFINE_bool("check", False, "check the settings and exit")
_VERSION = flags.DEFINE_bool("version", False, "print the version and exit")
_LOG = logging.getLogger(__name__)


def _load_config(path: str, overrides: list[str]) -> NodeConfig | ConfigFaults | str:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return f"cannot read {path}: {exc}"
    return parse_node_config(text, path, overrides)


def _main(argv: list[str]) -> int:
    if _VERSION.value:
        print(build_info())
        return 0
    if len(argv) > 1 or _CONFIG.value is None:
        print("usage: fuchsiagap-node --config FILE [--set section.key=value]")
        return EXIT_BAD_SETTINGS
    cfg = _load_config(_CONFIG.value, list(_SET.value))
    if isinstance(cfg, (ConfigFaults, str)):
        print(cfg, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if _CHECK.value:
        print(f"{_CONFIG.value}: the settings are valid")
        return 0
    set_up_logs(cfg.name)
    _tune_garbage_collection()
    return trio.run(_run_until_stopped, cfg)


def _tune_garbage_collection() -> None:
    """Exclude start-up objects from garbage collection, and collect less often.

    A full collection stops all calls; see docs/design/path.md.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


async def _run_until_stopped(cfg: NodeConfig) -> int:
    """Run the node until it fails to start or SIGTERM or SIGINT has shut it down."""
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, stop)
        failure = await run_process(cfg, random.Random(), stop)
        nursery.cancel_scope.cancel()
    if failure is None:
        return 0
    _LOG.error("cannot start: %s", failure.detail)
    return EXIT_CANNOT_LISTEN


async def _watch_signals(stop: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()


def run() -> None:
    """Entry point of the command."""
    app.run(_main)


if __name__ == "__main__":
    run()
