"""Routes of a whole deployment: which service answers a request, and under what."""
