"""Exponential backoff with full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.retries.budget import RetrySettings


def backoff(cfg: RetrySettings, n_retries: int, rng: random.Random) -> Milliseconds:
    """Return the delay before a retry at another instance.

    The first retry is made at once. Further retries indicate that the service as a
    whole is failing, so they wait for a random time of up to a limit that doubles with
    each retry (full jitter).

    Parameters
    ----------
    cfg : RetrySettings
        Settings of the backoff.
    n_retries : int
        Number of retries made before this one.
    rng : random.Random
        Source of the jitter.

    Returns
    -------
    float
        Delay in milliseconds.
    """
    if n_retries == 0:
        return 0.0
    bound = min(cfg.backoff * 2.0**n_retries, cfg.backoff_max)
    return rng.random() * bound
