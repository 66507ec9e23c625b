"""How much of which rank an entry refuses before any work is done for it."""
