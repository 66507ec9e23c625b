"""Messages between nodes and their CBOR encoding."""
