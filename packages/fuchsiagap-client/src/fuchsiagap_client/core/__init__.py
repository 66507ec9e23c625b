"""Implementation of the client library."""
