"""Routes of a deployment: the service and the rules for each request."""
