"""Events, metrics and invariant violations that a process reports to its operators."""
