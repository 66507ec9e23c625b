"""Merging and rendering of the event rings of many processes as one timeline."""
