"""Load balancing: which instance of a service gets the next attempt."""
