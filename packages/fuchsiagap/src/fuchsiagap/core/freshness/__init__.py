"""How up to date a node's copy of the configuration is."""
