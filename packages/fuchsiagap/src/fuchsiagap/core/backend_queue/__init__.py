"""Queue, health and incarnation of one backend server, as its node tracks them."""
