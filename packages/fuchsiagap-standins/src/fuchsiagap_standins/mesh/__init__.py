"""Stand-ins for nodes of a deployment: a store in memory, backend servers, callers."""
