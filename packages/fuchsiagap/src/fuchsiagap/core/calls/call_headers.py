"""Names and values of the HTTP headers between callers, nodes and backend servers."""

from __future__ import annotations

# Caller to node.
DEADLINE = "fuchsiagap-deadline-ms"
ALLOWANCE = "fuchsiagap-allowance"
PRIORITY = "fuchsiagap-priority"
ROOT = "fuchsiagap-root"
TICKET = "idempotency-key"
# "0" if no earlier copy of the request was sent, "1" if an earlier copy may have run.
REPEAT = "fuchsiagap-repeat"
# Backend server to its local node, on nested calls.
PARENT_CALL = "fuchsiagap-call"
CHILD_KEY = "fuchsiagap-child-key"
# Node to backend server and node to caller.
OUTCOME = "fuchsiagap-outcome"
REASON = "fuchsiagap-reason"
CALL = "fuchsiagap-call"
REPEATED = "fuchsiagap-repeated"
RETRY_AFTER = "fuchsiagap-retry-after-ms"
# Backend server to its node: "not-run" states that a refused call did not run.
BACKEND_NOT_RUN = "fuchsiagap-not-run"

OUTCOME_ANSWERED = "answered"
OUTCOME_REFUSED = "refused"
OUTCOME_UNKNOWN = "unknown"
PREFIX = "fuchsiagap-"
