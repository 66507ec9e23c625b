"""In-memory stand-in for the object API of the platform, with fault injection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds, sleep_ms
from fuchsiagap_node.core.ports import (
    Conflict,
    Missing,
    PlatformUnavailable,
    PutResult,
    StoredObject,
)

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

MAX_VALUE_BYTES = 1_000_000
# Maximum time that one poll of a watch waits for a change.
WATCH_WAIT: Milliseconds = 30_000.0


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Fault switches of the platform; by default only a small latency.

    Parameters
    ----------
    outage : bool
        Whether every call fails, including watches that are waiting.
    latency : float
        Milliseconds that each call takes.
    patience : float
        Timeout in milliseconds of calls made within the process. Over HTTP it is
        infinite, as each caller has its own timeout.
    lose_answers : float
        Probability that the answer to a write is lost after the write is applied.
    lose_requests : float
        Probability that a write is lost before it is applied; the caller cannot
        distinguish this from a lost answer.
    """

    outage: bool = False
    latency: Milliseconds = 2.0
    patience: Milliseconds = 2_000.0
    lose_answers: float = 0.0
    lose_requests: float = 0.0


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Number of calls to the platform, by kind.

    Calls of a user who is already cut off do not reach the platform
    and are not counted.

    Parameters
    ----------
    reads, writes, watches : int
        A list counts as one read; a watch counts once per poll.
    failed : int
        Calls that failed because of an outage, a timeout, a lost request or answer,
        or because the user of a waiting watch was cut off.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failed: int = 0


class ObjectStore:
    """Versioned objects by path; one version counter is shared by all objects.

    Implements `fuchsiagap_node.core.ports.Platform`.

    Parameters
    ----------
    rng : random.Random
        Draws which requests and answers are lost.
    faults : PlatformFaults, optional
        Initial faults.

    Notes
    -----
    A watch yields the current state of each changed object in order of version; if an
    object changes twice between two polls, only the later change is seen. A tombstone
    has a version and counts as an object: a conditional write over it must expect the
    version of the tombstone.
    """

    def __init__(
        self, rng: random.Random, faults: PlatformFaults | None = None
    ) -> None:
        self.version = 0
        self.faults = faults or PlatformFaults()
        self.cut_off: set[str] = set()
        self._rng = rng
        self._objects: dict[str, StoredObject] = {}
        self._reads = self._writes = self._watches = self._failed = 0
        self._changed = trio.Event()

    @property
    def counts(self) -> CallCounts:
        """Number of calls since the start, by kind."""
        return CallCounts(self._reads, self._writes, self._watches, self._failed)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Change the faults; watches that are waiting see them at once."""
        self.faults = faults
        self._notify()

    def set_cut_off(self, names: set[str]) -> None:
        """Set which users of `view` cannot reach the platform; all others can."""
        self.cut_off = set(names)
        self._notify()

    def view(self, name: str) -> PlatformView:
        """Return the platform as seen by a named user, who can be cut off from it."""
        return PlatformView(self, name)

    async def get(self, path: str) -> StoredObject | Missing | PlatformUnavailable:
        """Read one object; a deleted object is returned as a tombstone."""
        self._reads += 1
        if (unavailable := await self._delay()) is not None:
            return unavailable
        return self._objects.get(path) or Missing(path)

    async def list(self, prefix: str) -> tuple[StoredObject, ...] | PlatformUnavailable:
        """Read all objects under a prefix, tombstones included."""
        self._reads += 1
        if (unavailable := await self._delay()) is not None:
            return unavailable
        return self.objects_under(prefix)

    async def put(
        self, path: str, value: bytes, expected_version: int | None
    ) -> PutResult:
        """Write an object if its version is the expected one.

        Version 0 means that no object exists yet; None writes unconditionally.
        """
        if len(value) > MAX_VALUE_BYTES:
            detail = f"{path}: {len(value)} bytes exceed the limit of {MAX_VALUE_BYTES}"
            return PlatformUnavailable(maybe_applied=False, detail=detail)
        return await self._change(path, value, expected_version, deleted=False)

    async def delete(self, path: str, expected_version: int | None) -> PutResult:
        """Replace an object with a tombstone, under the same condition as `put`."""
        return await self._change(path, b"", expected_version, deleted=True)

    async def watch(
        self, prefix: str, after_version: int
    ) -> AsyncIterator[StoredObject | PlatformUnavailable]:
        """Yield each change under a prefix with a version above `after_version`."""
        async for change in self.view("").watch(prefix, after_version):
            yield change

    async def poll(
        self, prefix: str, after_version: int, wait: Milliseconds, name: str = ""
    ) -> tuple[StoredObject, ...] | PlatformUnavailable:
        """Wait until there are changes under a prefix, and return them.

        A watch polls repeatedly; each poll counts as one call.

        Parameters
        ----------
        prefix : str
            Prefix of the paths.
        after_version : int
            Return only changes with a higher version.
        wait : float
            Maximum time to wait in milliseconds.
        name : str
            Name of the user, as given to `view`.

        Returns
        -------
        tuple of StoredObject or PlatformUnavailable
            Changes in order of version; empty if there were none within `wait`.
        """
        self._watches += 1
        if (unavailable := await self._delay()) is not None:
            return unavailable
        end_time = trio.current_time() + wait / MS_PER_S
        while not (changes := self.objects_under(prefix, after_version)):
            if self.faults.outage or name in self.cut_off:
                return self._fail(maybe_applied=False)
            with trio.move_on_at(end_time):
                await self._changed.wait()
            if trio.current_time() >= end_time:
                break
        return changes

    def objects_under(
        self, prefix: str, after_version: int = 0
    ) -> tuple[StoredObject, ...]:
        """Return the objects under a prefix in order of version; counts no call."""
        found = [
            stored
            for stored in self._objects.values()
            if stored.path.startswith(prefix) and stored.version > after_version
        ]
        return tuple(sorted(found, key=lambda stored: stored.version))

    async def _change(
        self, path: str, value: bytes, expected_version: int | None, *, deleted: bool
    ) -> PutResult:
        self._writes += 1
        if self.faults.outage:
            await sleep_ms(self.faults.latency)
            return self._fail(maybe_applied=False)
        if self._rng.random() < self.faults.lose_requests:
            await sleep_ms(self.faults.patience)
            return self._fail(maybe_applied=True)
        result = self._apply(path, value, expected_version, deleted)
        if self._rng.random() < self.faults.lose_answers:
            await sleep_ms(self.faults.patience)
            return self._fail(maybe_applied=True)
        unavailable = await self._delay(maybe_applied=True)
        return result if unavailable is None else unavailable

    def _apply(
        self, path: str, value: bytes, expected_version: int | None, deleted: bool
    ) -> StoredObject | Conflict:
        current = self._objects.get(path)
        if expected_version is not None:
            version = 0 if current is None else current.version
            if version != expected_version:
                return Conflict(current)
        self.version += 1
        stored = StoredObject(path, self.version, value, deleted)
        self._objects[path] = stored
        self._notify()
        return stored

    async def _delay(
        self, *, maybe_applied: bool = False
    ) -> PlatformUnavailable | None:
        faults = self.faults
        await sleep_ms(min(faults.latency, faults.patience))
        if faults.outage or faults.latency > faults.patience:
            return self._fail(maybe_applied=maybe_applied)
        return None

    def _fail(self, *, maybe_applied: bool) -> PlatformUnavailable:
        self._failed += 1
        return PlatformUnavailable(maybe_applied, "no answer from the platform")

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class PlatformView:
    """Access of one user to the platform; implements `ports.Platform`.

    Parameters
    ----------
    store : ObjectStore
        The object store.
    name : str
        Name of the user; its calls fail while it is in `ObjectStore.cut_off`.
    """

    def __init__(self, store: ObjectStore, name: str) -> None:
        self._store = store
        self._name = name

    async def get(self, path: str) -> StoredObject | Missing | PlatformUnavailable:
        """Read one object."""
        return await self._unreachable() or await self._store.get(path)

    async def list(self, prefix: str) -> tuple[StoredObject, ...] | PlatformUnavailable:
        """Read all objects under a prefix."""
        if (unavailable := await self._unreachable()) is not None:
            return unavailable
        return await self._store.list(prefix)

    async def put(
        self, path: str, value: bytes, expected_version: int | None
    ) -> PutResult:
        """Write an object if its version is the expected one.

        Version 0 means that no object exists yet; None writes unconditionally.
        """
        if (unavailable := await self._unreachable()) is not None:
            return unavailable
        result = await self._store.put(path, value, expected_version)
        return self._result_if_reachable(result)

    async def delete(self, path: str, expected_version: int | None) -> PutResult:
        """Replace an object with a tombstone, under the same condition as `put`."""
        if (unavailable := await self._unreachable()) is not None:
            return unavailable
        result = await self._store.delete(path, expected_version)
        return self._result_if_reachable(result)

    async def watch(
        self, prefix: str, after_version: int
    ) -> AsyncIterator[StoredObject | PlatformUnavailable]:
        """Yield each change under a prefix; ends after a `PlatformUnavailable`."""
        while True:
            changes = await self._unreachable() or await self._store.poll(
                prefix, after_version, WATCH_WAIT, self._name
            )
            if isinstance(changes, PlatformUnavailable):
                yield changes
                return
            for change in changes:
                after_version = change.version
                yield change

    async def _unreachable(self) -> PlatformUnavailable | None:
        if self._name not in self._store.cut_off:
            return None
        await sleep_ms(self._store.faults.patience)
        return PlatformUnavailable(
            maybe_applied=False, detail="user cut off from the platform"
        )

    def _result_if_reachable(self, result: PutResult) -> PutResult:
        # The user may have been cut off after the write was applied.
        if self._name in self._store.cut_off:
            return PlatformUnavailable(
                maybe_applied=True, detail="user cut off from the platform"
            )
        return result
