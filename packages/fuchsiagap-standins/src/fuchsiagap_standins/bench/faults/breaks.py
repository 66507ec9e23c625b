"""Bugs that can be planted to verify that the checks detect violations.

The product has no option that enables them: planting a bug replaces functions of the
product for the duration of a run. There are one or more bugs for each check but those
of convergence, `checks.INSIDE` and `checks.NOT_AT_REST`.
"""

from __future__ import annotations

from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any
from unittest import mock

from fuchsiagap.core.calls.outcome import Reason, Refused, Unknown
from fuchsiagap.core.retries.allowance import Allowance
from fuchsiagap.core.settings.book import SettingsBook
from fuchsiagap.core.tickets.records import Burnt, Forgotten
from fuchsiagap.core.tickets.tickets import Tickets
from fuchsiagap.core.tickets.window import TicketWindow
from fuchsiagap_node.core import node
from fuchsiagap_node.core.callpath import attempts, dispatch
from fuchsiagap_node.core.drain import stopping as drain
from fuchsiagap_node.core.peers.conn import PeerConn
from fuchsiagap_standins.bench.faults import checks

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap_node.core.state import NodeState


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Plant a bug while the ``with`` block runs.

    Parameters
    ----------
    name : str
        Key of `BREAKS`; empty for no bug.
    """
    with ExitStack() as stack:
        if name:
            BREAKS[name].plant(stack)
        yield


def _patch(stack: ExitStack, owner: object, name: str, new: object) -> Any:
    """Replace attribute `name` of `owner` by `new`; return the original."""
    original = getattr(owner, name)
    stack.enter_context(mock.patch.object(owner, name, new))
    return original


def _forget_window(stack: ExitStack) -> None:
    """Make a window forget that a ticket was used as soon as its run has ended."""

    def finish(self: TicketWindow, record: Any, outcome: Outcome) -> None:
        original(self, record, outcome)
        self.records.pop(record.key, None)
        self.kept_sizes.pop(record.key, None)
        if isinstance(record.key, int):
            self.used.discard(record.key)

    original = _patch(stack, TicketWindow, "finish", finish)


def _retry_unknown(stack: ExitStack) -> None:
    """Retry a non-idempotent call at another instance after an unknown outcome."""

    def may_retry(head: CallHead, outcome: Outcome) -> bool:
        return original(head, outcome) or isinstance(outcome, Unknown)

    original = _patch(stack, dispatch, "_may_retry", may_retry)


def _refuse_unknown(stack: ExitStack) -> None:
    """Report a call as not run if its link broke after it was sent."""

    async def hand_over(*args: Any) -> Outcome:
        outcome: Outcome = await original(*args)
        is_unknown = isinstance(outcome, Unknown)
        return Refused(Reason.CONNECTION_LOST) if is_unknown else outcome

    original = _patch(stack, attempts, "_hand_over", hand_over)


def _unburnt_not_run(stack: ExitStack) -> None:
    """Report a ticket that was not started as burnt without burning it, and a
    forgotten ticket as burnt too.
    """

    def settle(self: TicketWindow, sequence: int) -> Any:
        if sequence not in self.records and sequence not in self.used:
            return Burnt()
        settled = original(self, sequence)
        return Burnt() if isinstance(settled, Forgotten) else settled

    original = _patch(stack, TicketWindow, "settle", settle)


def _reborn_home(stack: ExitStack) -> None:
    """Let a restarted home node accept tickets of its previous incarnation."""

    def window_of(self: Tickets, ticket: Any) -> TicketWindow | None:
        if ticket.node == self.own.node:
            self.own.next = max(self.own.next, ticket.sequence + 1)
            return self.own
        window: TicketWindow | None = original(self, ticket)
        return window

    original = _patch(stack, Tickets, "window_of", window_of)


def _adopt_lower_version(stack: ExitStack) -> None:
    """Make a node request every settings text and adopt older versions too."""

    def adopt(self: SettingsBook, text: Any) -> Any:
        held_entry = self._entries.get(text.team)
        if held_entry is not None and held_entry.text.version > text.version:
            del self._entries[text.team]
        return original(self, text)

    original = _patch(stack, SettingsBook, "adopt", adopt)
    _patch(stack, SettingsBook, "seen", lambda self: ())


def _skip_drain_notice(stack: ExitStack) -> None:
    """Make a draining node send no notice and accept work until it is idle."""

    async def drain_without_notice(state: NodeState, reason: str) -> None:
        await drain._wait_until_idle(state)

    _patch(stack, drain, "drain", drain_without_notice)


def _stop_with_work(stack: ExitStack) -> None:
    """Make a planned stop not wait for the requests in progress."""

    async def drain_at_once(state: NodeState, reason: str) -> None:
        state.leaving = True

    async def return_at_once(*_: object) -> None:
        pass

    _patch(stack, drain, "drain", drain_at_once)
    _patch(stack, node, "_until_quiet", return_at_once)


def _swap_answers(stack: ExitStack) -> None:
    """Deliver a reply to the oldest pending request instead of to its own."""

    def take_reply(self: PeerConn, number: int, msg: object) -> None:
        unanswered = [
            n for n, waiter in self._pending.items() if not waiter.done.is_set()
        ]
        original(self, min(unanswered) if unanswered else number, msg)

    original = _patch(stack, PeerConn, "_take_reply", take_reply)


def _lose_allowance(stack: ExitStack) -> None:
    """Do not deduct retries from the allowance when they are lent or taken."""

    def lend_up_to(self: Allowance, n_max: int) -> int:
        return max(min(n_max, self.remaining), 0)

    def ignore_booking(self: Allowance, *args: int, **kwargs: int) -> None:
        return None

    _patch(stack, Allowance, "lend_up_to", lend_up_to)
    _patch(stack, Allowance, "lend", lambda self: self.remaining)
    _patch(stack, Allowance, "settle", ignore_booking)
    _patch(stack, Allowance, "write_off", ignore_booking)
    _patch(stack, Allowance, "_check", ignore_booking)
    _patch(stack, Allowance, "take", lambda self: True)


def _key_by_parent_call(stack: ExitStack) -> None:
    """Give each attempt of a child call a new key, so that repeats are not matched."""
    original_head = attempts.attempt_head

    def attempt_head(head: CallHead, n_sent: int, repeat: bool) -> CallHead:
        new_head = original_head(head, n_sent, repeat)
        return replace(new_head, child_key=f"{new_head.child_key}#{new_head.call_id}")

    _patch(stack, dispatch, "attempt_head", attempt_head)


@dataclass(frozen=True, slots=True)
class Break:
    """A bug that can be planted.

    Parameters
    ----------
    plant : callable
        Plants the bug until the given `ExitStack` is closed.
    check : str
        Name of the check in `checks` that has to detect it.
    """

    plant: Callable[[ExitStack], None]
    check: str


BREAKS: dict[str, Break] = {
    "forget-window": Break(_forget_window, checks.DOUBLE_RUNS),
    "retry-unknown": Break(_retry_unknown, checks.DOUBLE_RUNS),
    "refuse-unknown": Break(_refuse_unknown, checks.FALSE_NOT_RUN),
    "unburnt-not-run": Break(_unburnt_not_run, checks.FALSE_NOT_RUN),
    "reborn-home": Break(_reborn_home, checks.DOUBLE_RUNS),
    "key-by-parent-call": Break(_key_by_parent_call, checks.DOUBLE_RUNS),
    "adopt-lower-version": Break(_adopt_lower_version, checks.REVERTED_SETTINGS),
    "skip-drain-notice": Break(_skip_drain_notice, checks.WORK_AFTER_LEAVING),
    "stop-with-work": Break(_stop_with_work, checks.CUT_BY_PLANNED_STOP),
    "swap-answers": Break(_swap_answers, checks.WRONG_ANSWERS),
    "lose-allowance": Break(_lose_allowance, checks.ATTEMPTS_ABOVE_BOUND),
}
