"""Tickets, which ensure that a non-idempotent request is executed at most once."""
