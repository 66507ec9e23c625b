"""Limits on retries: allowances of calls, retry budgets and backoff."""
