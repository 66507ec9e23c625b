"""Settings of teams: read from the platform, spread between nodes, and written."""
