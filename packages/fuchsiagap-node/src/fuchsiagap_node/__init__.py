"""The node of fuchsiagap: one small process per backend server host."""
