"""The ``fuchsiagap`` command line for operators."""
