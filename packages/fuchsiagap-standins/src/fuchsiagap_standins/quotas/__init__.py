"""Simulations of algorithms that enforce a quota on many nodes."""
