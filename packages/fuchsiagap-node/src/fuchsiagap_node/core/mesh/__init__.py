"""Node of a deployment whose routes come from the platform.

Callers and backend servers speak HTTP/1.1 to the node on their host; nodes exchange
CBOR frames. A request passes through at most two nodes: the one that receives it owns
it, and the one on the host of the backend server holds the queue of that server.
"""
