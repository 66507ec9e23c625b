"""Ways to keep a quota over many nodes, played against an exact oracle."""
