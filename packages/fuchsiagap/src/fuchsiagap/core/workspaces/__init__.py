"""Workspaces of a deployment: their API keys and their shared request quotas."""
