"""Where a request goes: the choice of a backend server by how full each one is."""
