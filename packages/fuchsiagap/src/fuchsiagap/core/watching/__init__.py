"""Which nodes of a data centre watch the store on behalf of the others."""
