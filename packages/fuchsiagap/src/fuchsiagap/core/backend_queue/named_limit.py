"""The request rate that a backend server names in its responses, and its departure.

A server in need names how many requests per second it accepts from all nodes together,
for as long as its responses name a rate. All its requests pass through the queue of the
node beside it, so that queue alone enforces the rate.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

_RATE = re.compile(rb"\d{1,9}(\.\d{1,15})?", re.ASCII)
_LEAVING = b"1"
# Maximum number of characters shown of a value that is malformed.
_SHOWN_CHARS = 60


class InvalidNoticeError(Exception):
    """A response names a malformed rate or departure; the message has the value."""


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a backend server states about itself in a response.

    Parameters
    ----------
    rate : float or None, default=None
        Requests per second that it accepts from all nodes together; None for no limit.
    is_leaving : bool, default=False
        Whether it is leaving, and must get no new requests.
    """

    rate: float | None = None
    is_leaving: bool = False


NO_NOTICE = ServerNotice()


def parse_rate(value: bytes) -> float:
    """Parse the header that names a limit; return the requests per second.

    Parameters
    ----------
    value : bytes
        Value of the header; values of several headers are joined by commas.

    Raises
    ------
    InvalidNoticeError
        If the value is malformed.
    """
    if not _RATE.fullmatch(value.strip()):
        raise InvalidNoticeError(f"rate: got {_show(value)}, expected a decimal number")
    return float(value)


def parse_leaving(value: bytes) -> bool:
    """Parse the header that announces a departure; see `parse_rate`."""
    if value.strip() != _LEAVING:
        raise InvalidNoticeError(f"departure: got {_show(value)}, expected '1'")
    return True


def _show(value: bytes) -> str:
    text = value.decode("latin-1")
    return repr(text if len(text) <= _SHOWN_CHARS else text[:_SHOWN_CHARS] + "...")


class NoticeTracker:
    """The current notice of one incarnation of a backend server.

    Responses may arrive in another order than the server sent them. A response without
    a limit, or with a higher one, counts only if its request was sent after the
    response with the current limit had arrived. A departure is final.

    Attributes
    ----------
    notice : ServerNotice
        The current notice.
    """

    def __init__(self) -> None:
        self.notice = NO_NOTICE
        self._named_at: Milliseconds = float("-inf")

    def record(
        self, notice: ServerNotice, sent_at: Milliseconds, now: Milliseconds
    ) -> bool:
        """Record the notice in a response; return whether the current one changes.

        Parameters
        ----------
        notice : ServerNotice
            Notice in the response.
        sent_at : float
            Time in milliseconds at which the request was sent.
        now : float
            Time in milliseconds.
        """
        before = self.notice
        rate = before.rate
        if _is_lower(notice.rate, before.rate) or sent_at >= self._named_at:
            rate = notice.rate
        if notice.rate is not None and rate == notice.rate:
            self._named_at = now
        self.notice = ServerNotice(rate, before.is_leaving or notice.is_leaving)
        return self.notice != before


def _is_lower(rate: float | None, current: float | None) -> bool:
    """Whether a rate is lower than the current one, where None is no limit."""
    if rate is None:
        return False
    return current is None or rate < current


class RateLimiter:
    """Token bucket that starts requests at a named rate.

    After the limit is withdrawn, the rate doubles at intervals until the limiter ends,
    so that the requests held back elsewhere do not all arrive at once.

    Parameters
    ----------
    now : float
        Time of creation in milliseconds.
    """

    # Seconds of the rate that may start at once.
    _BURST_S = 0.25
    # Interval at which the rate doubles after the limit was withdrawn, and number of
    # doublings after which there is no limit, both from at least `_MIN_RELEASE_RATE`
    # requests per second.
    _DOUBLING_MS = 500.0
    _DOUBLINGS = 6
    _MIN_RELEASE_RATE = 4.0

    def __init__(self, now: Milliseconds) -> None:
        self._rate: float | None = None
        self._tokens = 0.0
        self._refilled_at = now
        self._released_at: Milliseconds | None = None

    def set_rate(self, rate: float | None, now: Milliseconds) -> None:
        """Set the named rate; None withdraws it.

        Parameters
        ----------
        rate : float or None
            Requests per second.
        now : float
            Time in milliseconds.
        """
        if rate is None:
            if self._rate is not None and self._released_at is None:
                self._released_at = now
                self._rate = max(self._rate, self._MIN_RELEASE_RATE)
            return
        if self.rate(now) is None:
            self._tokens = 0.0
            self._refilled_at = now
        self._refill(now)
        self._rate = rate
        self._released_at = None
        self._tokens = min(self._tokens, self._burst(rate))

    def rate(self, now: Milliseconds) -> float | None:
        """Return the requests per second that may start now; None for no limit."""
        if self._rate is None or self._released_at is None:
            return self._rate
        doublings = (now - self._released_at) / self._DOUBLING_MS
        if doublings >= self._DOUBLINGS:
            self._rate = None
            self._released_at = None
            return None
        return self._rate * 2.0 ** int(doublings)

    def admits(self, now: Milliseconds) -> bool:
        """Whether a request may start now."""
        if self.rate(now) is None:
            return True
        self._refill(now)
        return self._tokens >= 1.0

    def record_start(self, now: Milliseconds) -> None:
        """Record that a request starts."""
        if self.rate(now) is not None:
            self._refill(now)
            self._tokens -= 1.0

    def _refill(self, now: Milliseconds) -> None:
        rate = self.rate(now)
        if rate is None:
            return
        passed_s = max(now - self._refilled_at, 0.0) / MS_PER_S
        self._tokens = min(self._tokens + rate * passed_s, self._burst(rate))
        self._refilled_at = now

    def _burst(self, rate: float) -> float:
        return max(rate * self._BURST_S, 1.0) if rate else 0.0
