"""How old a node's knowledge of the configuration is."""
