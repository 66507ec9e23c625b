"""Membership between nodes: failure detection, dissemination, sync and joining."""

from __future__ import annotations

from fuchsiagap_node.core.gossip.gossip import register, run
from fuchsiagap_node.core.gossip.joining import wait_until_joined

__all__ = ["register", "run", "wait_until_joined"]
