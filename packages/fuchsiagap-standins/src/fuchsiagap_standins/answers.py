"""Answers that their receiver can verify to be complete and for the right call.

Each client request carries a nonce. All its child calls carry the same nonce and their
position in the call tree, and the body of each answer is derived from both.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

# Names of the HTTP headers that carry a mark.
NONCE = "standin-nonce"
PLACE = "standin-place"
SIZE = "standin-size"
ROOT_PLACE = "0"
# Size of the filler in an answer, in bytes.
DEFAULT_SIZE = 256
_SEPARATOR = b"\n"


@dataclass(frozen=True, slots=True)
class CallMark:
    """Identity of one call in the call tree of a client request.

    It is propagated in HTTP headers.

    Parameters
    ----------
    nonce : str
        Random text that identifies the client request.
    place : str
        Position in the call tree: ``"0"`` for the client's call, ``"0.1"`` for the
        second child call of that call, and so on. Retries of a call have the same
        place.
    size : int
        Size of the filler in the answer, in bytes.
    """

    nonce: str
    place: str = ROOT_PLACE
    size: int = DEFAULT_SIZE

    def child(self, index: int) -> CallMark:
        """Return the mark of child call number `index`, counted from 0."""
        return CallMark(self.nonce, f"{self.place}.{index}", self.size)

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the HTTP headers that carry the mark."""
        return (NONCE, self.nonce), (PLACE, self.place), (SIZE, str(self.size))


def mark_from(headers: dict[str, str]) -> CallMark:
    """Return the mark in HTTP headers; the nonce is empty if there is none."""
    size = headers.get(SIZE, "")
    return CallMark(
        headers.get(NONCE, ""),
        headers.get(PLACE, ROOT_PLACE),
        int(size) if size.isdecimal() else DEFAULT_SIZE,
    )


def answer_body(mark: CallMark, route: str) -> bytes:
    """Return the body of the answer to a call.

    Parameters
    ----------
    mark : CallMark
        Mark of the call.
    route : str
        Name of the route that answers.

    Returns
    -------
    bytes
        Nonce, place and route, then the filler, then a SHA-256 digest of all these.
    """
    head = f"{mark.nonce} {mark.place} {route}".encode()
    filler = hashlib.shake_128(head).hexdigest(mark.size // 2 + 1).encode()[: mark.size]
    content = head + _SEPARATOR + filler
    return content + _SEPARATOR + hashlib.sha256(content).hexdigest().encode()


def is_own_answer(body: bytes, mark: CallMark, route: str) -> bool:
    """Whether a body is the complete answer to the call with this mark."""
    return body == answer_body(mark, route)
