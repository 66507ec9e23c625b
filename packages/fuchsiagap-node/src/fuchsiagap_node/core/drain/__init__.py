"""The graceful shutdown of a node, and what it hands to another one."""
