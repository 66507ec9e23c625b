"""Head and outcome of a call, as passed between nodes."""
