"""Distribution of the tests over the test processes of pytest-xdist."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

# Group of each listed test module. pytest-xdist runs the tests of a group one after the
# other in one process. Most of them start processes of their own; in parallel these
# would compete for CPU time, and the results would depend on the machine.
_GROUP_BY_MODULE = {
    "test_soak": "soak",
    "test_sheet": "sheets",
    # Simulations of real nodes in virtual time that occupy a core for minutes.
    "test_crashing": "sheets",
    "test_signals": "processes",
    "test_processes": "processes",
}


def pytest_configure(config: pytest.Config) -> None:
    """Keep expected log lines off the console; tests that check logs capture them."""
    logging.getLogger().addHandler(logging.NullHandler())


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Assign the tests of the listed modules to their groups."""
    for item in items:
        group = _GROUP_BY_MODULE.get(Path(item.path).stem)
        if group is not None:
            item.add_marker(pytest.mark.xdist_group(group))
