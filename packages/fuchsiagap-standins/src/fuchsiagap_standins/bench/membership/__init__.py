"""Bench of the cost and speed of group membership by number of nodes."""

from __future__ import annotations

from fuchsiagap_standins.bench.membership.cli import main

__all__ = ["main"]
