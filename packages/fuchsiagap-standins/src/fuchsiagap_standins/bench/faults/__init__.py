"""Randomised fault injection bench with real nodes; see `cli` for the command."""

from __future__ import annotations

from fuchsiagap_standins.bench.faults.cli import main

__all__ = ["main"]
