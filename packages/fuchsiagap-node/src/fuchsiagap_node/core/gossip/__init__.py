"""Membership between nodes: probes, updates, syncs, joining and the digest."""

from __future__ import annotations

from fuchsiagap_node.core.gossip.gossip import register, run
from fuchsiagap_node.core.gossip.joining import wait_until_joined

__all__ = ["register", "run", "wait_until_joined"]
