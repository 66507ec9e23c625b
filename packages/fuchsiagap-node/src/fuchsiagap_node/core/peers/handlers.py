"""Handlers of the messages from other nodes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

RequestHandler: TypeAlias = Callable[[str, Any], Awaitable[object]]
NotificationHandler: TypeAlias = Callable[[str, Any], Awaitable[None]]


@dataclass(slots=True)
class Handlers:
    """Handlers by message type, registered while the node is assembled.

    A handler takes the name of the sending node and the message.

    Parameters
    ----------
    request_handlers : dict
        Handlers of messages that have a reply, which they return.
    notification_handlers : dict
        Handlers of messages that have no reply.
    """

    request_handlers: dict[type, RequestHandler] = field(default_factory=dict)
    notification_handlers: dict[type, NotificationHandler] = field(default_factory=dict)

    def on_request(self, message_type: type, handler: RequestHandler) -> None:
        """Register the handler that replies to a type of message.

        Parameters
        ----------
        message_type : type
            Type of the messages.
        handler : callable
            Returns the reply.

        Raises
        ------
        ValueError
            If the type has a handler already.
        """
        if message_type in self.request_handlers:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self.request_handlers[message_type] = handler

    def on_notification(self, message_type: type, handler: NotificationHandler) -> None:
        """Register the handler of a type of message that has no reply.

        Parameters
        ----------
        message_type : type
            Type of the messages.
        handler : callable
            Called with each message.

        Raises
        ------
        ValueError
            If the type has a handler already.
        """
        if message_type in self.notification_handlers:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self.notification_handlers[message_type] = handler
