"""Implementation of the commands."""
