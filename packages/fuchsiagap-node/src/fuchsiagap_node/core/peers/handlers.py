"""Who answers which message from other nodes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

RequestHandler: TypeAlias = Callable[[str, Any], Awaitable[object]]
NotificationHandler: TypeAlias = Callable[[str, Any], Awaitable[None]]


@dataclass(slots=True)
class Handlers:
    """Handlers by message type, filled while the node is put together.

    A handler gets the name of the sending node and the message.
    """

    request_handlers: dict[type, RequestHandler] = field(default_factory=dict)
    notification_handlers: dict[type, NotificationHandler] = field(default_factory=dict)

    def on_request(self, message_type: type, handler: RequestHandler) -> None:
        """Register who replies to a message.

        Raises
        ------
        ValueError
            If the message has a handler already.
        """
        if message_type in self.request_handlers:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self.request_handlers[message_type] = handler

    def on_notification(self, message_type: type, handler: NotificationHandler) -> None:
        """Register who takes a message that has no reply.

        Raises
        ------
        ValueError
            If the message has a handler already.
        """
        if message_type in self.notification_handlers:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self.notification_handlers[message_type] = handler
