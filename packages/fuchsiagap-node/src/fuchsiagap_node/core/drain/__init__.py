"""Graceful shutdown of a node, and the hand-over of its tickets."""
