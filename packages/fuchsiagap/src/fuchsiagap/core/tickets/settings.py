"""Limits on the tickets that one node keeps."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class TicketSettings:
    """Limits of the ticket windows of one node.

    Parameters
    ----------
    window : int
        Maximum number of tickets in the window, used or not. A used ticket takes one
        bit.
    min_age : float
        Minimum time in milliseconds for which an issued ticket stays in the window.
        No tickets are issued if that would drop a younger one.
    max_batch : int
        Maximum number of tickets issued for one request.
    kept_answers : int
        Maximum number of outcomes kept for repeats in each window; the oldest are
        evicted first.
    kept_bytes : int
        Maximum total size in bytes of the kept outcomes of the node's own window.
    max_kept_body : int
        Largest response body, in bytes, that is kept. The outcome of a repeat of a
        call with a larger response is `Unknown`.
    adopted_windows : int
        Maximum number of windows taken over from stopped nodes.
    adopted_bytes : int
        Maximum size in bytes of the kept outcomes of one window that was taken over.
        For all of these windows together the limit is `kept_bytes`.
    adopted_age : float
        Milliseconds after which a window that was taken over may be dropped. It is
        dropped when the next window is taken over.
    chunk_bytes : int
        Maximum size in bytes of the kept outcomes in one hand-over message. A single
        larger outcome is sent in a message of its own.
    """

    window: int = 1 << 20
    min_age: Milliseconds = 120_000.0
    max_batch: int = 256
    kept_answers: int = 50_000
    kept_bytes: int = 32 << 20
    max_kept_body: int = 256 << 10
    adopted_windows: int = 64
    adopted_bytes: int = 8 << 20
    adopted_age: Milliseconds = 900_000.0
    chunk_bytes: int = 64 << 10
