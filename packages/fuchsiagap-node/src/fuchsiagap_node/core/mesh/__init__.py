"""Node of a deployment whose routes come from the platform.

Callers and backend servers speak HTTP/1.1 to the node on their host; nodes exchange
CBOR frames. A request passes through at most two nodes: the one that receives it places
and retries it, and the one on the host of the backend server holds that server's queue.
"""
