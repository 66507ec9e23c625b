"""Load shedding at the entry node: which requests to refuse before any work is done."""
