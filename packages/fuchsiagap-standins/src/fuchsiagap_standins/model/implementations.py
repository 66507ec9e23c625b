"""Names the functions of the product that implement the actions of specifications.

The tests of this package resolve each name, so that they fail if a function is renamed.
"""

from __future__ import annotations

_WINDOW = "fuchsiagap.core.tickets.window:TicketWindow"
_CALLPATH = "fuchsiagap_node.core.callpath"
_DRAIN = "fuchsiagap_node.core.drain"

CLIENT_SEND = "fuchsiagap_client.core.sending:send"
CLIENT_ASK = f"{_CALLPATH}.home_tickets:settle"
HOME_START = f"{_CALLPATH}.home:at_home"
HOME_BURN = f"{_WINDOW}.settle"
HOME_KEEP = f"{_WINDOW}.finish"
WINDOW_SHRINK = f"{_WINDOW}.shrink"
DISPATCH = f"{_CALLPATH}.dispatch:dispatch"
SERVE = f"{_CALLPATH}.serve:serve"
GATE_ENTER = "fuchsiagap.core.admission.gate:Gate.enter"
HAND_OVER = f"{_DRAIN}.handover:hand_over"
ADOPT_WINDOW = f"{_DRAIN}.takeover:end"
LATE_OUTCOME = f"{_DRAIN}.takeover:take_late_outcome"
CHILD_CALL = f"{_CALLPATH}.entry:enter"
LINK_ASK = "fuchsiagap_node.core.peers.links:LinkPeers.ask"
LINK_SERVE = "fuchsiagap_node.core.peers.conn:PeerConn.run"
LINK_ANSWER = "fuchsiagap_node.core.peers.conn:PeerConn.ask"
ALLOWANCE_SPLIT = "fuchsiagap.core.retries.allowance:Allowance.lend"
ALLOWANCE_RETURN = "fuchsiagap.core.retries.allowance:Allowance.settle"
DRAIN = f"{_DRAIN}.stopping:drain"
DRAIN_HEAR = f"{_DRAIN}.stopping:register"
GOSSIP_APPLY = "fuchsiagap.core.membership.table:Membership.apply"
SETTINGS_PUT = "fuchsiagap_node.core.settings.write:put_settings"
SETTINGS_ADOPT = "fuchsiagap.core.settings.book:SettingsBook.adopt"
