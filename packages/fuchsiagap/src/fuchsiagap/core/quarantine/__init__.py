"""Requests that crash the servers that run them, and how they are kept from others."""
