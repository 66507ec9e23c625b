"""Formal specifications of the protocols, verified by exhaustive model checking."""
