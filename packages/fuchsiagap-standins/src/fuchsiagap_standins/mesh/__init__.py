"""Deployments of real nodes with test doubles of the store, servers and network."""
