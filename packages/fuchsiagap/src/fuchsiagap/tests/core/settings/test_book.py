from __future__ import annotations

from hypothesis import assume, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from fuchsiagap import ServiceName
from fuchsiagap.core.settings.book import Adopted, Invalid, SettingsBook, Stale
from fuchsiagap.core.settings.model import RouteSettings, TeamText
from fuchsiagap.core.settings.pattern import covers, covers_methods, make_match

CERTS = ServiceName("salt-fog", "certs")
TEXT = """
[certs]
priority = 6
[certs/issue]
match = POST /issue
priority = 0
[certs/panel]
match = * /panels/*
[certs/panel-list]
match = GET|PUT /panels/list
[certs/panel-put]
match = PUT /panels/list
[certs/rest]
match = GET /panels/**
"""


def _make_text(version: int, priority: int = 9) -> TeamText:
    return TeamText("salt-fog", version, f"[certs]\npriority = {priority}\n")


def _stored_text(team: str, version: int) -> TeamText:
    """Return the only text that the platform stores with a version."""
    if version % 5 == 0:
        return TeamText(team, version, "", deleted=True)
    bad = "oops" if version % 7 == 0 else version % 10
    return TeamText(team, version, f"[team]\npriority = {bad}\n")


def _expected_section(
    sections: list[tuple[str, str]], method: str, path: tuple[str, ...]
) -> str:
    """Return the expected route, found by comparing all matching sections."""
    call = make_match((method,), "/" + "/".join(path))
    matches = [make_match(tuple(m.split("|")), p) for m, p in sections]
    found = [
        i
        for i, match in enumerate(matches)
        if covers(match.segments, call.segments)
        and covers_methods(match.methods, call.methods)
    ]
    for i in found:
        candidate = matches[i]
        if all(
            covers(matches[j].segments, candidate.segments)
            and (
                matches[j].segments != candidate.segments
                or covers_methods(matches[j].methods, candidate.methods)
            )
            for j in found
        ):
            return f"certs/r{i}"
    return "certs"


_METHODS = st.sampled_from(["GET", "POST", "GET|POST", "*"])
_SEGMENTS = st.lists(st.sampled_from(["a", "b", "*"]), min_size=1, max_size=3)
_PATTERNS = st.builds(
    lambda segments, tail: "/" + "/".join([*segments, *tail]),
    _SEGMENTS,
    st.sampled_from([[], ["**"]]),
)


class SettingsBookTest(TestCase):
    def route(self, book: SettingsBook, method: str, target: str) -> RouteSettings:
        route = book.route_for(CERTS, method, target)
        assert route is not None
        return route

    def test_the_most_specific_route_wins(self) -> None:
        book = SettingsBook()
        book.adopt(TeamText("salt-fog", 1, TEXT))
        for method, target, route in (
            ("POST", "/issue", "certs/issue"),
            ("POST", "/issue?again=1", "certs/issue"),
            ("POST", "/%69ssue", "certs/issue"),
            ("POST", "/issue/", "certs"),
            ("POST", "/issue/2", "certs"),
            ("GET", "/issue", "certs"),
            ("GET", "/panels/7", "certs/panel"),
            ("BREW", "/panels/7", "certs/panel"),
            ("GET", "/panels/list", "certs/panel-list"),
            ("PUT", "/panels/list", "certs/panel-put"),
            ("POST", "/panels/list", "certs/panel"),
            ("GET", "/panels/7/results", "certs/rest"),
            ("GET", "/panels", "certs/rest"),
            ("GET", "/", "certs"),
            ("OPTIONS", "*", "certs"),
            ("GET", "", "certs"),
        ):
            with self.subTest(method=method, target=target):
                self.assertEqual(route, self.route(book, method, target).route)

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(
        sections=st.lists(st.tuples(_METHODS, _PATTERNS), max_size=6, unique=True),
        data=st.data(),
    )
    def test_the_found_route_is_covered_by_all_other_matches(
        self, sections: list[tuple[str, str]], data: st.DataObject
    ) -> None:
        text = "".join(
            f"[certs/r{i}]\nmatch = {methods} {pattern}\n"
            for i, (methods, pattern) in enumerate(sections)
        )
        book = SettingsBook()
        outcome = book.adopt(TeamText("salt-fog", 1, text or "[certs]\n"))
        assume(isinstance(outcome, Adopted))
        for method in ("GET", "POST", "PUT"):
            path = data.draw(st.lists(st.sampled_from("abc"), max_size=4))
            route = self.route(book, method, "/" + "/".join(path))
            expected = _expected_section(sections, method, tuple(path or [""]))
            self.assertEqual(expected, route.route)

    def test_idempotence_follows_the_method_in_a_route_for_any_method(self) -> None:
        book = SettingsBook()
        book.adopt(TeamText("salt-fog", 1, TEXT))
        self.assertTrue(self.route(book, "GET", "/panels/7").idempotent)
        self.assertFalse(self.route(book, "POST", "/panels/7").idempotent)
        self.assertFalse(self.route(book, "BREW", "/panels/7").idempotent)

    def test_a_service_without_a_section_has_the_least_priority(self) -> None:
        book = SettingsBook()
        book.adopt(TeamText("salt-fog", 1, TEXT))
        service = ServiceName("salt-fog", "elsewhere")
        route = book.route_for(service, "POST", "/x")
        assert route is not None
        self.assertEqual((service, "elsewhere"), (route.service, route.route))
        self.assertEqual((9, False), (route.priority, route.idempotent))
        self.assertIsNone(book.route_for(ServiceName("other", "certs"), "GET", "/"))

    def test_a_lower_version_is_never_adopted(self) -> None:
        book = SettingsBook()
        self.assertEqual(Adopted("salt-fog", 8), book.adopt(_make_text(8, 2)))
        self.assertEqual(Stale("salt-fog", 7, 8), book.adopt(_make_text(7, 5)))
        self.assertEqual(Stale("salt-fog", 8, 8), book.adopt(_make_text(8, 2)))
        self.assertEqual(2, self.route(book, "GET", "/").priority)
        self.assertEqual(0, book.counts.split)

    def test_another_text_with_the_active_version_is_counted(self) -> None:
        book = SettingsBook()
        book.adopt(_make_text(8, 2))
        book.adopt(_make_text(8, 3))
        self.assertEqual(1, book.counts.split)
        self.assertEqual(2, self.route(book, "GET", "/").priority)

    def test_a_tombstone_is_not_resurrected(self) -> None:
        book = SettingsBook()
        book.adopt(_make_text(3))
        book.adopt(TeamText("salt-fog", 5, "", deleted=True))
        self.assertIsNone(book.route_for(CERTS, "GET", "/"))
        self.assertIsInstance(book.adopt(_make_text(4)), Stale)
        self.assertIsNone(book.team("salt-fog"))
        self.assertEqual((("salt-fog", 5),), book.vector())
        self.assertEqual((), book.teams())
        self.assertIsInstance(book.adopt(_make_text(6)), Adopted)

    def test_an_invalid_text_does_not_replace_the_active_one(self) -> None:
        book = SettingsBook()
        book.adopt(_make_text(3, 1))
        bad = TeamText("salt-fog", 4, "[team]\nweight = 7")
        self.assertIsInstance(book.adopt(bad), Invalid)
        book.adopt(bad)
        self.assertEqual(1, self.route(book, "GET", "/").priority)
        self.assertEqual((("salt-fog", 3),), book.vector())
        self.assertEqual((("salt-fog", 4),), book.seen())
        self.assertEqual([4], [invalid.version for invalid in book.rejected()])
        self.assertEqual(1, book.counts.invalid)
        book.adopt(_make_text(5))
        self.assertEqual((), book.rejected())

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        offers=st.lists(
            st.tuples(st.sampled_from(["salt-fog", "dakar"]), st.integers(1, 40)),
            max_size=40,
        ),
        data=st.data(),
    )
    def test_any_order_gives_the_same_settings_and_versions_never_decrease(
        self, offers: list[tuple[str, int]], data: st.DataObject
    ) -> None:
        shuffled = data.draw(st.permutations(offers))
        books = []
        for order in (offers, shuffled):
            book = SettingsBook()
            last: dict[str, int] = {}
            for team, version in order:
                book.adopt(_stored_text(team, version))
                versions = dict(book.vector())
                for name in last:
                    assert versions[name] >= last[name], "a version decreased"
                last = versions
            books.append(book)
        one, other = books
        self.assertEqual(one.vector(), other.vector())
        self.assertEqual(one.seen(), other.seen())
        for name, version in one.vector():
            text = one.text(name)
            assert text is not None
            self.assertEqual((text, version), (other.text(name), text.version))
        self.assertEqual(0, one.counts.split + other.counts.split)
