"""Settings of teams: one versioned INI text per team."""
