"""The node of a deployment whose routes come from the platform.

Callers and backend servers speak HTTP/1.1 to the node beside them; nodes speak CBOR
frames to each other. One request passes two nodes at most: the one that takes it owns
it, and the one beside the backend server is that server's only door.
"""
