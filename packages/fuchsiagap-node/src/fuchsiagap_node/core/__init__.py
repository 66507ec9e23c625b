"""Components of a node, which `fuchsiagap_node.core.node` assembles."""
