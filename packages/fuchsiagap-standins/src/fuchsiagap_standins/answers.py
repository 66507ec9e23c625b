"""Answers that show whose they are, and whether they are whole.

Each client request carries a nonce. Its calls further down carry the same nonce and
their place in the chain, and each answer is made from both.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

NONCE = "standin-nonce"
PLACE = "standin-place"
SIZE = "standin-size"
ROOT_PLACE = "0"
DEFAULT_SIZE = 256
_SEPARATOR = b"\n"


@dataclass(frozen=True, slots=True)
class CallMark:
    """What marks one call of the chain below a client request.

    Parameters
    ----------
    nonce : str
        Of the client request.
    place : str
        ``"0"`` for the client's call, ``"0.1"`` for the second call of its backend
        server, and so on. An attempt has the place of the attempt before.
    size : int
        Bytes of filler in the answer.
    """

    nonce: str
    place: str = ROOT_PLACE
    size: int = DEFAULT_SIZE

    def child(self, index: int) -> CallMark:
        """Return the mark of the call's own call number `index`."""
        return CallMark(self.nonce, f"{self.place}.{index}", self.size)

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the HTTP headers that carry the mark."""
        return (NONCE, self.nonce), (PLACE, self.place), (SIZE, str(self.size))


def mark_from(headers: dict[str, str]) -> CallMark:
    """Return the mark that HTTP headers carry; without one, an empty nonce."""
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
        The call's mark.
    route : str
        The route that answers.

    Returns
    -------
    bytes
        The mark and the route, filler, and a digest over both.
    """
    head = f"{mark.nonce} {mark.place} {route}".encode()
    filler = hashlib.shake_128(head).hexdigest(mark.size // 2 + 1).encode()[: mark.size]
    content = head + _SEPARATOR + filler
    return content + _SEPARATOR + hashlib.sha256(content).hexdigest().encode()


def is_own_answer(body: bytes, mark: CallMark, route: str) -> bool:
    """Whether a body is the whole answer to the call with this mark."""
    return body == answer_body(mark, route)
