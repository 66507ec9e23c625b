"""Distribution of the tests over the test processes of pytest-xdist."""

from __future__ import annotations

import logging
import zlib
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from xdist.scheduler import LoadScopeScheduling

if TYPE_CHECKING:
    from xdist.remote import Producer

# Group of each listed test module. The tests of a group run one after the other in one
# process. Most of them start processes of their own; in parallel these would compete
# for CPU time and addresses, and the results would depend on the machine.
_GROUP_BY_MODULE = {
    "test_soak": "soak",
    "test_sheet": "sheets",
    # Simulations of real nodes in virtual time that occupy a core for minutes.
    "test_crashing": "sheets",
    "test_signals": "processes",
    "test_processes": "processes",
}
# Groups that are divided between several processes, and their number.
_N_PROCESSES = {"soak": 2}


class _GroupScheduling(LoadScopeScheduling):
    """Runs the tests of a group in the same process, and all others in any."""

    def _split_scope(self, nodeid: str) -> str:
        group = _GROUP_BY_MODULE.get(Path(nodeid.partition("::")[0]).stem)
        if group is None:
            return nodeid
        return f"{group}-{zlib.crc32(nodeid.encode()) % _N_PROCESSES.get(group, 1)}"


def pytest_configure(config: pytest.Config) -> None:
    """Keep expected log lines off the console; tests that check logs capture them."""
    logging.getLogger().addHandler(logging.NullHandler())


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(
    config: pytest.Config, log: Producer
) -> LoadScopeScheduling:
    """Return the scheduling that keeps the tests of a group together."""
    return _GroupScheduling(config, log)
