"""Settings of teams: read from the platform, synchronized, and written."""
