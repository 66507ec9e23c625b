"""Structured logs with one JSON object per line, only for changes of state.

Frequent occurrences are counted in metrics instead. Changes of state are recorded as
events, and the event ring logs them.

See Also
--------
fuchsiagap.core.telemetry.events.LOGGED_KINDS : Events that are logged.
"""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime
from typing import TextIO

_RESERVED = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}

LOGGER_NAMES = ("fuchsiagap", "fuchsiagap_node")


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    Parameters
    ----------
    process : str
        Name of the process, written in each line.

    Examples
    --------
    >>> record = logging.makeLogRecord({"msg": "drain started", "created": 0.0})
    >>> JsonFormatter("node-a").format(record)[:41]
    '{"time": "1970-01-01T00:00:00.000+00:00",'
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as JSON, with a field for each value passed as `extra`."""
        created_at = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, object] = {
            "time": created_at.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "process": self._process,
            "logger": record.name,
            "message": record.getMessage(),
        }
        extra = {k: v for k, v in vars(record).items() if k not in _RESERVED}
        line.update(extra)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, ensure_ascii=False)


def set_up_logs(
    process: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Write the logs of the packages in `LOGGER_NAMES` to a stream as JSON lines.

    Parameters
    ----------
    process : str
        Name of the process.
    level : str, default="info"
        Lowest level to write.
    stream : text stream, optional
        Output stream; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(process))
    for name in LOGGER_NAMES:
        logger = logging.getLogger(name)
        logger.handlers = [handler]
        logger.setLevel(level.upper())
        logger.propagate = False
