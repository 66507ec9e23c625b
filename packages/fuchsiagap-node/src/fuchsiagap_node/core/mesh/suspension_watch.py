"""Detection of a suspension of the host, before any task runs after it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Milliseconds


class SuspensionWatch(trio.abc.Instrument):
    """Checks for a suspension each time the event loop has waited for I/O.

    Parameters
    ----------
    catch_up : callable
        Returns the milliseconds for which the host was suspended since the last call;
        see `Clock`.
    on_resume : callable
        Called with these milliseconds after a suspension.
    """

    def __init__(
        self,
        catch_up: Callable[[], Milliseconds],
        on_resume: Callable[[Milliseconds], None],
    ) -> None:
        self._catch_up = catch_up
        self._on_resume = on_resume

    def after_io_wait(self, timeout: float) -> None:
        """Report a suspension, if there was one."""
        if suspended := self._catch_up():
            self._on_resume(suspended)
