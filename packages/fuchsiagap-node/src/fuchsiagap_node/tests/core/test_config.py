from __future__ import annotations

from testtools import TestCase

from fuchsiagap import ServiceName
from fuchsiagap_node.core.config import (
    ConfigFaults,
    NodeConfig,
    parse_node_config,
)

PATH = "node.ini"
VALID_TEXT = """
[node]
name = certs-1
host = host-1
data centre = hall-a
[listen]
callers = 127.0.0.1:8001
peers = 127.0.0.1:0
admin = 127.0.0.1:0
[backend]
team = salt-fog
service = certs
address = 127.0.0.1:9001
[platform]
url = http://127.0.0.1:7000
[peers]
first = 127.0.0.1:8101, 127.0.0.1:8102
"""

# Replaced part of the valid text, its replacement, and two parts of the fault text.
INVALID_TEXTS = (
    ("name = certs-1", "name = Certs_1", "[node] name", "lower-case"),
    ("name = certs-1", "", "[node] name", "must be given"),
    ("data centre", "data center", "data center", "did you mean 'data centre'"),
    ("[peers]", "[pears]", "[pears]", "did you mean 'peers'"),
    ("127.0.0.1:8001", "localhost:8001", "callers", "IP:PORT"),
    ("127.0.0.1:8001", "127.0.0.1:70000", "callers", "IP:PORT"),
    ("127.0.0.1:8001", "127.0.0.1", "callers", "IP:PORT"),
    ("127.0.0.1:8001", "127.0.0.01:80", "callers", "IP:PORT"),
    ("peers = 127.0.0.1:0", "peers = 0.0.0.0:0", "peers", "can dial"),
    ("peers = 127.0.0.1:0", "peers = 127.0.0.1:8001", "peers", "another address"),
    ("127.0.0.1:9001", "127.0.0.1:8001", "[backend] address", "another address"),
    ("127.0.0.1:9001", "127.0.0.1:0", "[backend] address", "a port from 1"),
    ("http://127.0.0.1:7000", "https://127.0.0.1:7000", "url", "http://IP:PORT"),
    ("http://127.0.0.1:7000", "http://platform:7000", "url", "http://IP:PORT"),
    ("http://127.0.0.1:7000", "http://127.0.0.1:7000/x", "url", "http://IP:PORT"),
    ("127.0.0.1:8102", "127.0.0.1:8101", "first", "none twice"),
    ("[platform]", "[limits]\nbody bytes = 65MB\n[platform]", "body", "64MB"),
    ("[platform]", "[limits]\nopen calls = 0\n[platform]", "open calls", "from 1"),
    ("[platform]", "[admin]\ntoken digest = s3cret\n[platform]", "token", "64 hex"),
    ("[platform]", "[telemetry]\nring size = 1\n[platform]", "ring size", "from 64"),
)


class ParseNodeConfigTest(TestCase):
    def parse(self, text: str, *overrides: str) -> NodeConfig:
        cfg = parse_node_config(text, PATH, overrides)
        assert isinstance(cfg, NodeConfig), str(cfg)
        return cfg

    def faults(self, text: str, *overrides: str) -> ConfigFaults:
        faults = parse_node_config(text, PATH, overrides)
        assert isinstance(faults, ConfigFaults), text
        return faults

    def test_missing_keys_have_defaults(self) -> None:
        cfg = self.parse(VALID_TEXT)
        self.assertEqual(ServiceName("salt-fog", "certs"), cfg.service)
        self.assertEqual(64 * 1024 * 1024, cfg.limits.body_bytes)
        self.assertEqual(("127.0.0.1:8101", "127.0.0.1:8102"), cfg.peers.first)
        self.assertEqual((2000.0, ""), (cfg.platform.timeout, cfg.admin.token_digest))

    def test_each_fault_names_its_location_and_the_expected_value(self) -> None:
        for old, new, named, expected in INVALID_TEXTS:
            with self.subTest(new=new):
                self.assertIn(old, VALID_TEXT)
                faults = self.faults(VALID_TEXT.replace(old, new, 1))
                self.assertIn(named, str(faults))
                self.assertIn(expected, str(faults))
                self.assertIn(PATH, str(faults))

    def test_all_faults_are_reported_together(self) -> None:
        faults = self.faults("[node]\nname = X\n[lisen]\n")
        missing = [f for f in faults.faults if "must be given" in f.expected]
        self.assertEqual(9, len(missing))
        self.assertEqual(11, len(faults.faults))

    def test_flags_override_the_file(self) -> None:
        cfg = self.parse(
            VALID_TEXT,
            "node.data_centre=hall-b",
            "limits.open calls = 7",
            "node.name=a",
            "node.name=certs-9",
        )
        self.assertEqual(("certs-9", "hall-b"), (cfg.name, cfg.data_centre))
        self.assertEqual(7, cfg.limits.open_calls)

    def test_faults_of_flags_name_the_flag(self) -> None:
        faults = self.faults(VALID_TEXT, "node.name=Z", "name", "a.b=c", "x=1")
        self.assertEqual(4, len(faults.faults))
        self.assertIn("--set: [node] name = 'Z'", str(faults))
        self.assertIn("--set: 'x=1': expected SECTION.KEY=VALUE", str(faults))
