"""Transports of a node: callers, peers, the backend server, platform and operators."""
