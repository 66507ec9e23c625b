"""Simulate overload of a service graph on a virtual clock.

The nodes run the real entry, dispatch, routing, retry, ticket and admission code. The
links between nodes, the backend servers and the callers are simulated.

See Also
--------
fuchsiagap_standins.bench.overload.scenario : Demand and slowdown over time.
fuchsiagap_standins.bench.overload.policies : Node settings that are compared.
"""

from fuchsiagap_standins.bench.overload.cli import main

__all__ = ["main"]
