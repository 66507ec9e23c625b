"""Logs as JSON lines, only for changes of state."""

from __future__ import annotations

import io
import json
import logging

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.telemetry import TelemetrySettings, make_telemetry
from fuchsiagap_node.core.logs import LOGGER_NAMES, set_up_logs


class TestLogs(TestCase):
    def setUp(self) -> None:
        super().setUp()
        for name in LOGGER_NAMES:
            logger = logging.getLogger(name)
            self.addCleanup(setattr, logger, "handlers", logger.handlers)
            self.addCleanup(setattr, logger, "propagate", logger.propagate)
            self.addCleanup(logger.setLevel, logger.level)
        self.stream = io.StringIO()
        set_up_logs("node-a", stream=self.stream)

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_changes_of_state_are_logged_and_calls_are_not(self) -> None:
        clock = Clock(now=lambda: 0.0, wall=lambda: 0.0)
        ring = make_telemetry(TelemetrySettings(), "node-a", clock).ring
        ring.record(EventKind.CALL_RECEIVED, "c1", "r1")
        ring.record(EventKind.PLATFORM_DOWN, detail="timeout")
        (line,) = self.lines()
        self.assertEqual("platform-down detail=timeout", line["message"])
        self.assertEqual("platform-down", line["event"])
        self.assertEqual("node-a", line["process"])

    def test_exceptions_and_unserializable_values_are_logged_in_one_line(self) -> None:
        logger = logging.getLogger("fuchsiagap_node.test")
        try:
            raise ValueError("a\nb")
        except ValueError:
            logger.exception("broke\n%s", "here", extra={"value": object()})
        (line,) = self.lines()
        self.assertIn("ValueError", str(line["exception"]))
