"""How the tests share the processes that run them."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

# Modules whose tests start processes of their own, by the group that runs them one
# after the other: more of them at a time would wait for each other's processor time,
# and their verdicts would hang on the machine.
_GROUP_BY_MODULE = {
    "test_soak": "soak",
    "test_sheet": "sheets",
    # Plays of real nodes in virtual time, which keep a core busy for minutes.
    "test_crashing": "sheets",
    "test_signals": "processes",
    "test_processes": "processes",
}


def pytest_configure(config: pytest.Config) -> None:
    """Keep what the tests provoke off the screen; a test reads logs by itself."""
    logging.getLogger().addHandler(logging.NullHandler())


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Put the tests that start processes into their groups."""
    for item in items:
        group = _GROUP_BY_MODULE.get(Path(item.path).stem)
        if group is not None:
            item.add_marker(pytest.mark.xdist_group(group))
