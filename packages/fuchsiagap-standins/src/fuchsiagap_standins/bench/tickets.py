"""Measure CPU time and memory of tickets.

The ticket window is compared with a cache of random idempotency keys that gives the
same guarantee for the same number of calls: no key is accepted twice. Times are CPU
times of this process.

Examples
--------
``python -m fuchsiagap_standins.bench tickets --json``
"""

from __future__ import annotations

import gc
import json
import random
import statistics
import sys
import time
import tracemalloc
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeAlias

import trio
from absl import flags

from fuchsiagap.core.calls.outcome import Answered, Outcome
from fuchsiagap.core.clock import MS_PER_S, Clock
from fuchsiagap.core.tickets.child_key import fingerprint
from fuchsiagap.core.tickets.records import Start
from fuchsiagap.core.tickets.settings import TicketSettings
from fuchsiagap.core.tickets.window import TicketWindow
from fuchsiagap_node.core.callpath.home import at_home
from fuchsiagap_node.core.drain.handover import HandOverCompleted, hand_over
from fuchsiagap_standins.builders import an_issue_head
from fuchsiagap_standins.command_line import new_flags
from fuchsiagap_standins.ticket_nodes import FakeBackends, TicketNet

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead

Figures: TypeAlias = dict[str, Any]
Fill: TypeAlias = Callable[[int, int], object]

N_CALLS = 100_000
N_KEPT = 10_000
N_ROUNDS = 5
N_HOME_CALLS = 5_000
BODY_BYTES = 300
KEY_BITS = 128
_US_PER_S = 1e6
_USAGE_STATUS = 2
_CFG = TicketSettings(kept_answers=N_KEPT, min_age=0.0)
_FINGERPRINT = bytes(8)


@dataclass(slots=True)
class KeyCache:
    """Cache of random idempotency keys with the most recent outcomes.

    Parameters
    ----------
    kept : OrderedDict
        Outcomes by key, oldest first; None while the call runs.
    seen : set of bytes
        Keys whose outcomes were evicted; without them a late repeat would run again.
    """

    kept: OrderedDict[bytes, Outcome | None] = field(default_factory=OrderedDict)
    seen: set[bytes] = field(default_factory=set)

    def claim(self, key: bytes) -> bool:
        """Register a key and return whether its call may start."""
        if key in self.kept or key in self.seen:
            return False
        self.kept[key] = None
        return True

    def finish(self, key: bytes, outcome: Outcome) -> None:
        """Store an outcome; evict the oldest one if there are more than `N_KEPT`."""
        self.kept[key] = outcome
        if len(self.kept) > N_KEPT:
            oldest, _ = self.kept.popitem(last=False)
            self.seen.add(oldest)


def main(argv: list[str]) -> int:
    """Measure and print the results.

    Parameters
    ----------
    argv : list of str
        Flags ``--json`` and ``--calls N``.

    Returns
    -------
    int
        Exit status; 2 for invalid arguments.
    """
    values = new_flags()
    flags.DEFINE_bool("json", False, "print indented JSON", flag_values=values)
    flags.DEFINE_integer("calls", N_CALLS, "number of calls", flag_values=values)
    try:
        rest = values(["tickets", *argv])[1:]
    except flags.Error as exc:
        rest = [str(exc)]
    if rest:
        print(
            f"invalid arguments {rest}: expected --json or --calls N", file=sys.stderr
        )
        return _USAGE_STATUS
    figures = measure(values.calls)
    if values.json:
        print(json.dumps(figures, indent=2))
    else:
        for name, value in figures.items():
            print(f"{name:36} {value}")
    return 0


def measure(n_calls: int) -> Figures:
    """Return all results by name.

    `n_calls` is the number of calls, issued tickets and fingerprints. Calls through the
    home node and the hand-over have fixed sizes.
    """
    figures: Figures = {"calls": n_calls, "kept": N_KEPT, "body_bytes": BODY_BYTES}
    for name, fill in (("window", _fill_window), ("key_cache", _fill_cache)):
        kept = _allocated_bytes(fill, N_KEPT, BODY_BYTES) / N_KEPT
        half = n_calls // 2
        growth = _allocated_bytes(fill, n_calls, 0) - _allocated_bytes(fill, half, 0)
        figures[f"{name}_bytes_per_kept_answer"] = round(kept, 1)
        figures[f"{name}_bytes_per_forgotten_call"] = round(growth / half, 3)
        figures[f"{name}_us_per_call"] = _us_per_call(fill, n_calls)
    figures["issue_us_per_ticket"] = _us_per_call(_issue, n_calls)
    figures["fingerprint_us"] = _us_per_call(_fingerprints, n_calls)
    figures["plain_call_us"], figures["at_home_us"] = trio.run(_at_home_us)
    figures.update(trio.run(_measure_hand_over))
    return figures


def _make_window() -> TicketWindow:
    clock = Clock(now=time.monotonic, wall=time.time)
    return TicketWindow(_CFG, "certs-1", 1, clock)


def _fill_window(n_calls: int, body_bytes: int) -> object:
    window = _make_window()
    for sequence in range(n_calls):
        if sequence == window.next:
            window.issue(_CFG.max_batch)
        _run_call(window, sequence, body_bytes)
    return window


def _run_call(window: TicketWindow, sequence: int, body_bytes: int) -> None:
    claim = window.claim(sequence, "", _FINGERPRINT)
    assert isinstance(claim, Start)
    window.finish(claim.record, Answered(200, (), bytes(body_bytes)))


def _fill_cache(n_calls: int, body_bytes: int) -> object:
    cache = KeyCache()
    rng = random.Random(0)
    for _ in range(n_calls):
        key = rng.getrandbits(KEY_BITS).to_bytes(KEY_BITS // 8, "big")
        assert cache.claim(key)
        cache.finish(key, Answered(200, (), bytes(body_bytes)))
    return cache


def _issue(n_calls: int, _body_bytes: int) -> object:
    window = _make_window()
    for _ in range(n_calls // _CFG.max_batch):
        window.issue(_CFG.max_batch)
    return window


def _fingerprints(n_calls: int, _body_bytes: int) -> object:
    head = an_issue_head()
    body = bytes(BODY_BYTES)
    for _ in range(n_calls):
        fingerprint(head, body)
    return None


def _allocated_bytes(fill: Fill, n_calls: int, body_bytes: int) -> int:
    gc.collect()
    tracemalloc.start()
    filled = fill(n_calls, body_bytes)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del filled
    return size


def _us_per_call(fill: Fill, n_calls: int) -> float:
    times = []
    for _ in range(N_ROUNDS):
        cpu_started = time.process_time()
        fill(n_calls, 0)
        times.append(time.process_time() - cpu_started)
    return round(statistics.median(times) / n_calls * _US_PER_S, 2)


async def _at_home_us() -> tuple[float, float]:
    async with trio.open_nursery() as nursery:
        net = TicketNet(FakeBackends(_answer), nursery)
        state = await net.start("a")
        plain = await _cpu_us_per_call(lambda head: _answer(head, b""), state)
        through_home = await _cpu_us_per_call(
            lambda head: at_home(state, head, b"", net.run_of(head, b"")), state
        )
        nursery.cancel_scope.cancel()
    return plain, through_home


async def _cpu_us_per_call(call: Any, state: Any) -> float:
    deadline = (trio.current_time() + 60.0) * MS_PER_S
    heads: list[CallHead] = []
    while len(heads) < N_HOME_CALLS:
        issued = state.tickets.own.issue(_CFG.max_batch)
        heads += [an_issue_head(ticket=t, deadline=deadline) for t in issued]
    cpu_started = time.process_time()
    for head in heads:
        await call(head)
    return round((time.process_time() - cpu_started) / len(heads) * _US_PER_S, 1)


async def _answer(_head: object, _body: bytes) -> Outcome:
    await trio.lowlevel.checkpoint()
    return Answered(200, (), b"")


async def _measure_hand_over() -> Figures:
    """Measure the hand-over of a window with `N_KEPT` answers, codec included."""
    async with trio.open_nursery() as nursery:
        net = TicketNet(FakeBackends(_answer), nursery, TicketSettings())
        old, new = await net.start("a"), await net.start("b")
        window = old.tickets.own
        while window.next < N_CALLS:
            window.issue(_CFG.max_batch)
        for sequence in range(N_KEPT):
            _run_call(window, sequence, BODY_BYTES)
        cpu_started = time.process_time()
        result = await hand_over(old, new.cfg.peer_address)
        cpu_s = time.process_time() - cpu_started
        assert isinstance(result, HandOverCompleted), result
        nursery.cancel_scope.cancel()
    return {"hand_over_ms": round(cpu_s * MS_PER_S, 1)}


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
