"""Cluster membership: the nodes and their states."""
