"""Benchmarks and simulations, each in its own module or package.

Each bench is ``fuchsiagap_standins.bench.NAME`` with a function
``main(argv: list[str]) -> int``, where `argv` holds the arguments that follow the name
on the command line and the result is the exit status. A bench is imported only when it
runs, so that an error in one does not break the others.

Examples
--------
``python -m fuchsiagap_standins.bench overload --graph queensland --seed 1 --json``
"""
