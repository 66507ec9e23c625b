"""Stages of a call at a node: entry, relay to the home, dispatch and serving."""
