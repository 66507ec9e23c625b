"""Choice of the backend server that gets a request."""
