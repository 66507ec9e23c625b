"""Accounting of the retries that a call in progress may still make.

The allowance of a call covers its own retries and those of all calls nested below it.
An attempt sent to another node carries a share of the allowance, and its answer returns
the unused part; if the answer is lost, so is the share. Nested calls that run in
parallel draw from the one allowance of their parent, so together they never exceed it.
"""

from __future__ import annotations


class AllowanceExceededError(AssertionError):
    """An inconsistent allowance; it indicates a bug, never a node or link failure."""


class Allowance:
    """Retries that one call and all calls nested below it may still make.

    Parameters
    ----------
    granted : int
        Retries granted by the calling node; a negative number counts as 0.

    Attributes
    ----------
    granted : int
        Retries granted by the calling node. At all times
        ``granted = remaining + spent + lent + lost``.
    remaining : int
        Retries that may still be made or lent.
    spent : int
        Retries made here, or by attempts that were answered.
    lent : int
        Retries that travel with attempts in progress.
    lost : int
        Retries lent to attempts whose answer was lost.

    Examples
    --------
    >>> allowance = Allowance(3)
    >>> share = allowance.lend()
    >>> share, allowance.remaining
    (2, 1)
    >>> allowance.settle(share, unused=1)
    >>> allowance.remaining, allowance.spent
    (2, 1)
    """

    __slots__ = ("granted", "lent", "lost", "remaining", "spent")

    def __init__(self, granted: int) -> None:
        self.granted = max(granted, 0)
        self.remaining = self.granted
        self.spent = 0
        self.lent = 0
        self.lost = 0

    def take(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        self.spent += 1
        self._check()
        return True

    def lend(self) -> int:
        """Set aside all remaining retries but one for an attempt.

        One is kept, so that a lost share does not end the retries at this node. Of the
        splits compared in docs/design/attempts.md, this one completes the most
        requests.

        Returns
        -------
        int
            The share that travels with the attempt; `settle` or `write_off` ends it.
        """
        return self.lend_up_to(self.remaining - 1)

    def lend_up_to(self, n_max: int) -> int:
        """Set aside a limited number of retries for an attempt.

        Parameters
        ----------
        n_max : int
            Maximum share; a negative number counts as 0.

        Returns
        -------
        int
            The share that travels with the attempt; `settle` or `write_off` ends it.
        """
        share = max(min(n_max, self.remaining), 0)
        self.remaining -= share
        self.lent += share
        return share

    def settle(self, share: int, unused: int) -> None:
        """Take back the unused part of the share of an answered attempt.

        Parameters
        ----------
        share : int
            The share that `lend` or `lend_up_to` returned.
        unused : int
            The unused part reported by the answer. More than was lent is a protocol
            violation and is reduced to the share.

        Raises
        ------
        AllowanceExceededError
            If the share was settled or written off before.
        """
        unused = min(max(unused, 0), share)
        self.lent -= share
        self.remaining += unused
        self.spent += share - unused
        self._check()

    def write_off(self, share: int) -> None:
        """Count the share of an attempt whose answer was lost as lost."""
        self.lent -= share
        self.lost += share
        self._check()

    def _check(self) -> None:
        accounted = self.remaining + self.spent + self.lent + self.lost
        if accounted != self.granted or min(self.remaining, self.lent) < 0:
            raise AllowanceExceededError(
                f"inconsistent allowance: {self.granted} granted, {self.remaining}"
                f" remaining, {self.spent} spent, {self.lent} lent, {self.lost} lost"
            )
