"""Links to other nodes, for requests, replies and notifications."""
