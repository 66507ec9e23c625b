"""HTTP API of a node for operators; ``docs/admin-api.md`` describes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quart_trio import QuartTrio

from fuchsiagap_node.core.edges.admin_node import add_node_routes
from fuchsiagap_node.core.edges.admin_reply import add_error_handlers
from fuchsiagap_node.core.edges.admin_settings import add_settings_routes

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState


def admin_app(state: NodeState) -> QuartTrio:
    """Return the ASGI application of the operators' API.

    Parameters
    ----------
    state : NodeState
        State of the node.

    Returns
    -------
    QuartTrio
        The application to serve on the admin address.
    """
    app = QuartTrio(__name__)
    add_error_handlers(app)
    add_settings_routes(app, state)
    add_node_routes(app, state)
    return app
