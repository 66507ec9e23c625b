"""The door of one backend server: the only way by which requests reach it."""
