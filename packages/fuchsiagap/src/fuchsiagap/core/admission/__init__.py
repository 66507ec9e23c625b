"""Admission control for one backend server: concurrency limit, queue and level.

Attributes
----------
gate
    Admits, queues or refuses each call before it is handed to the backend server.
reported_levels
    Admission levels that other nodes have reported to an entry node.
"""
