from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from fuchsiagap import ServiceName
from fuchsiagap.core.settings.faults import SettingsFaults
from fuchsiagap.core.settings.model import TeamSettings
from fuchsiagap.core.settings.parse import MAX_TEXT_BYTES, parse_team

DIGEST = "0f" * 32
GOOD = f"""
[team]
weight = recovery
priority = 7
tokens = ops {DIGEST},
    night-shift {"1e" * 32}

[certs]
priority = 4
timeout = 2s

[certs/issue]
match = POST /issue
priority = 0
attempts = 0

[certs/panels]
match = GET|HEAD /panels/*
idempotent = yes
"""

# Texts with one error each, and two parts of the error message.
BAD = (
    ("[team]\nweight = 1.5", "weight", "a number from 0 to 1"),
    ("[team]\nweight = -0.1", "weight", "a number from 0 to 1"),
    ("[team]\nweight = nan", "weight", "a number"),
    ("[team]\nweight =", "weight", "a number"),
    ("[team]\nwieght = 1", "wieght", "did you mean 'weight'"),
    ("[team]\npriority = 10", "priority", "0 to 9"),
    ("[team]\npriority = -1", "priority", "0 to 9"),
    ("[team]\npriority = high", "priority", "0 to 9"),
    ("[team]\npriority = \u0663", "priority", "0 to 9"),
    ("[team]\ntimeout = 200", "timeout", "unit"),
    ("[team]\ntimeout = 0ms", "timeout", "from 1ms"),
    ("[team]\ntimeout = 1h", "timeout", "250ms or 2s"),
    ("[team]\ntimeout = 100000s", "timeout", "600s"),
    ("[team]\nattempts = 17", "attempts", "0 to 16"),
    ("[team]\nattempts = 1.5", "attempts", "whole number"),
    ("[team]\nretry budget = 10%", "retry budget", "0 to 1"),
    ("[team]\nidempotent = maybe", "idempotent", "by method"),
    ("[team]\ntokens = ops abc", "tokens", "64 hexadecimal"),
    (f"[team]\ntokens = ops {DIGEST}, ops {DIGEST}", "tokens", "no name twice"),
    (f"[team]\ntokens = {DIGEST}", "tokens", "NAME DIGEST"),
    ("[team]\n[team]", "team", "only one"),
    ("[team]\nweight = 1\nweight = 0", "weight", "line 2"),
    ("[team]\nWeight = 1\nweight = 0", "weight", "line 2"),
    ("weight = 1", "weight", "[section] before"),
    ("[team]\nweight", "weight", "key = value"),
    ("[Certs]", "Certs", "lower case"),
    ("[certs/]", "certs/", "SERVICE/ROUTE"),
    ("[certs/a/b]", "certs/a/b", "SERVICE/ROUTE"),
    ("[team/a]\nmatch = GET /", "team/a", "cannot be called team"),
    ("[../x]", "../x", "SERVICE"),
    ("[]", "[]", "[section] before"),
    ("[team]\n weight = 1", "weight", "no space before"),
    (" [team]", "team", "no space before"),
    ("[certs]\nmatch = GET /", "match", "a key of this section"),
    ("[certs]\nattempts = 1e3", "attempts", "whole number"),
    ("[certs/a]", "match", "must be given"),
    ("[certs/a]\nmatch = /x", "match", "GET|HEAD"),
    ("[certs/a]\nmatch = get /x", "match", "GET|HEAD"),
    ("[certs/a]\nmatch = GET|GET /x", "match", "GET|HEAD"),
    ("[certs/a]\nmatch = GET x", "match", "GET|HEAD"),
    ("[certs/a]\nmatch = GET /**/x", "match", "GET|HEAD"),
    ("[certs/a]\nmatch = GET /x?y", "match", "GET|HEAD"),
    ("[certs/a]\nmatch = GET /" + "a/" * 40, "match", "GET|HEAD"),
    (
        "[certs/a]\nmatch = GET /a/*\n[certs/b]\nmatch = GET /*/b",
        "match",
        "more specific than that of [certs/a]",
    ),
    (
        "[certs/a]\nmatch = GET|PUT /a\n[certs/b]\nmatch = PUT|POST /a",
        "match",
        "more specific than that of [certs/a]",
    ),
    (
        "[certs/a]\nmatch = GET /a\n[certs/b]\nmatch = GET /a",
        "match",
        "more specific than that of [certs/a]",
    ),
    ("[team]\n# \0", "NUL", "without NUL"),
    ("#" * (MAX_TEXT_BYTES + 1), "bytes", "at most"),
)


class ParseTeamTest(TestCase):
    def parse(self, text: str) -> TeamSettings:
        found = parse_team("salt-fog", text, 3)
        assert isinstance(found, TeamSettings), str(found)
        return found

    def test_values_come_from_the_most_specific_section_that_sets_them(self) -> None:
        team = self.parse(GOOD)
        issue, panels = team.routes
        self.assertEqual(ServiceName("salt-fog", "certs"), issue.service)
        self.assertEqual("certs/issue", issue.route)
        self.assertEqual(
            (0, 2000.0, 0), (issue.priority, issue.timeout, issue.allowance)
        )
        self.assertEqual(
            (4, 3, 0.1), (panels.priority, panels.allowance, panels.retry_budget)
        )
        self.assertEqual(("GET", "HEAD"), panels.methods)
        self.assertEqual("/panels/*", panels.pattern)
        self.assertEqual(7, team.default.unsafe.priority)
        self.assertEqual((1.0, 3), (team.weight, team.version))
        names = [token.name for token in team.token_digests]
        self.assertEqual(["ops", "night-shift"], names)

    def test_idempotent_by_method_unless_set(self) -> None:
        issue, panels = self.parse(GOOD).routes
        self.assertFalse(issue.idempotent)
        self.assertTrue(panels.idempotent)
        default = self.parse("").default
        self.assertTrue(default.safe.idempotent)
        self.assertFalse(default.unsafe.idempotent)

    def test_each_invalid_text_is_rejected_with_its_location(self) -> None:
        for text, named, expected in BAD:
            with self.subTest(text=text[:60]):
                faults = parse_team("salt-fog", text)
                assert isinstance(faults, SettingsFaults), text[:60]
                self.assertEqual(1, len(faults.faults), str(faults))
                self.assertIn(named, str(faults))
                self.assertIn(expected, str(faults))
                self.assertIn("/settings/salt-fog", str(faults))

    def test_sizes_of_texts_are_bounded(self) -> None:
        routes = "".join(f"[a/r{i}]\nmatch = GET /r{i}/*\n" for i in range(201))
        sections = "".join(f"[a{i}]\n" for i in range(501))
        for text, n_faults, expected in (
            (routes, 1, "at most 200 routes"),
            (sections, 1, "at most 500 sections"),
            ("[team]\n" + "x = 1\n" * 4_000, 1_001, "fix these first"),
            ("\n" * 5_001, 1, "at most 5000 lines"),
        ):
            faults = parse_team("salt-fog", text)
            assert isinstance(faults, SettingsFaults)
            self.assertEqual(n_faults, len(faults.faults))
            self.assertIn(expected, str(faults))

    def test_all_errors_are_reported_at_once(self) -> None:
        text = "x = 1\n[team]\nweight = 9\nwat\n[a/b]\nmtch = 1\n[a/c]\nmatch = x\n"
        faults = parse_team("salt-fog", text)
        assert isinstance(faults, SettingsFaults)
        lines = [fault.line for fault in faults.faults]
        self.assertEqual([1, 3, 4, 5, 6, 8], lines)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.text(st.sampled_from("[]/ =:#;\n\r\t\x0b\x1c%az*"), max_size=60))
    def test_any_text_is_parsed_or_rejected(self, text: str) -> None:
        self.assertIsInstance(
            parse_team("salt-fog", text), (TeamSettings, SettingsFaults)
        )

    def test_an_invalid_team_name_is_rejected(self) -> None:
        for team in ("", "..", "a/b", "Salt", "-a", "a" * 64):
            self.assertIsInstance(parse_team(team, ""), SettingsFaults)
