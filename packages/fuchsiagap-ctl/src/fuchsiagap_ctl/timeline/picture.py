"""Rendering of a timeline as SVG or HTML, with one lane for each process."""

from __future__ import annotations

import html
import io
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.hlc import wall_of
from fuchsiagap_ctl.timeline.text import gap_lines, text_lines, time_of_day

if TYPE_CHECKING:
    from fuchsiagap.core.telemetry.events import Event
    from fuchsiagap_ctl.timeline.merge import Timeline

# A picture with more processes or events than this is not legible.
MAX_LANES = 200
MAX_EVENTS = 20_000
# The names of more events than this would overlap.
_MAX_ANNOTATED_EVENTS = 80

_WIDTH_INCHES = 14.0
_LANE_INCHES = 0.45
_MARGIN_INCHES = 1.6


@dataclass(frozen=True, slots=True)
class _EventStyle:
    """Marker colour and legend label of some kinds of events."""

    colour: str
    name: str


_ABORTED_STYLE = _EventStyle("tab:brown", "cancelled, expired")
_STYLES = {
    EventKind.CALL_ANSWERED: _EventStyle("tab:green", "answered"),
    EventKind.CALL_REFUSED: _EventStyle("tab:orange", "refused"),
    EventKind.CALL_UNKNOWN: _EventStyle("tab:red", "unknown"),
    EventKind.CALL_CANCELLED: _ABORTED_STYLE,
    EventKind.CALL_EXPIRED: _ABORTED_STYLE,
    EventKind.CALL_RETRIED: _EventStyle("tab:purple", "retried"),
    EventKind.VIOLATION: _EventStyle("black", "violation"),
}
_LEVEL_STYLE = _EventStyle("tab:olive", "level, limit, overload")
_PREFIX_STYLES = (
    ("call-", _EventStyle("tab:blue", "other step of a call")),
    ("ticket", _EventStyle("tab:pink", "ticket")),
    ("level-", _LEVEL_STYLE),
    ("limit-", _LEVEL_STYLE),
    ("overload-", _LEVEL_STYLE),
)
_OTHER_STYLE = _EventStyle("tab:gray", "other")


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The result of rendering a timeline that is too large for a picture.

    Parameters
    ----------
    lanes, events : int
        Number of processes and of events in the timeline.
    """

    lanes: int
    events: int

    def __str__(self) -> str:
        return (
            f"a picture of {self.lanes} processes and {self.events} events is not"
            f" legible: at most {MAX_LANES} and {MAX_EVENTS} fit; narrow it with"
            " --call, --root or a shorter --since, or use --format text"
        )


def render_svg(timeline: Timeline, title: str) -> str | TooLarge:
    """Render a timeline as an SVG document.

    Parameters
    ----------
    timeline : Timeline
        The timeline.
    title : str
        Title of the picture.

    Returns
    -------
    str or TooLarge
        The SVG document, or `TooLarge` if a limit on lanes or events is exceeded.
    """
    lanes = _lanes(timeline)
    if len(lanes) > MAX_LANES or len(timeline.events) > MAX_EVENTS:
        return TooLarge(len(lanes), len(timeline.events))
    # Imported lazily, since the import takes longer than any other command runs.
    import matplotlib
    from matplotlib.figure import Figure

    height = _MARGIN_INCHES + _LANE_INCHES * max(len(lanes), 1)
    settings: dict[Any, Any] = {"svg.hashsalt": "fuchsiagap", "svg.fonttype": "none"}
    with matplotlib.rc_context(settings):
        figure = Figure(figsize=(_WIDTH_INCHES, height), layout="constrained")
        _draw(figure.subplots(), timeline, lanes, title)
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None})
    return out.getvalue()


def render_html(timeline: Timeline, title: str) -> str | TooLarge:
    """Render a timeline as an HTML page with the picture and the text below it.

    Parameters
    ----------
    timeline : Timeline
        The timeline.
    title : str
        Title of the page and the picture.

    Returns
    -------
    str or TooLarge
        A self-contained HTML document, or `TooLarge` as for `render_svg`.
    """
    picture = render_svg(timeline, title)
    if isinstance(picture, TooLarge):
        return picture
    drawing = picture[picture.index("<svg") :]
    text = html.escape("\n".join(text_lines(timeline)))
    return (
        f'<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title></head>\n<body>\n{drawing}\n"
        f"<pre>{text}</pre>\n</body></html>\n"
    )


def _lanes(timeline: Timeline) -> dict[str, int]:
    """Return the row of each process, ordered by the first event of each."""
    names = dict.fromkeys(event.process for event in timeline.events)
    return {name: row for row, name in enumerate(names)}


def _draw(axes: Any, timeline: Timeline, lanes: dict[str, int], title: str) -> None:
    events = timeline.events
    start = wall_of(events[0].stamp) if events else 0.0
    _draw_calls(axes, events, lanes, start)
    for style, group in _group_by_style(events).items():
        axes.scatter(
            [wall_of(event.stamp) - start for event in group],
            [lanes[event.process] for event in group],
            color=style.colour,
            label=style.name,
            s=18,
            zorder=3,
        )
    if len(events) <= _MAX_ANNOTATED_EVENTS:
        _annotate_events(axes, events, lanes, start)
    if events:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
    axes.set_yticks(range(len(lanes)), list(lanes))
    axes.set_ylim(len(lanes) - 0.4, -0.6)
    axes.grid(axis="y", alpha=0.3)
    since = f" after {time_of_day(start)} UTC" if events else ""
    axes.set_xlabel(f"milliseconds{since}")
    axes.set_title("\n".join([title, *gap_lines(timeline)]), fontsize=9)


def _draw_calls(
    axes: Any, events: tuple[Event, ...], lanes: dict[str, int], start: float
) -> None:
    """Connect the events of each call across the lanes with a line."""
    calls: dict[str, list[Event]] = {}
    for event in events:
        if event.call_id:
            calls.setdefault(event.call_id, []).append(event)
    for call_events in calls.values():
        axes.plot(
            [wall_of(event.stamp) - start for event in call_events],
            [lanes[event.process] for event in call_events],
            linewidth=0.8,
            alpha=0.5,
        )


def _annotate_events(
    axes: Any, events: tuple[Event, ...], lanes: dict[str, int], start: float
) -> None:
    for event in events:
        position = (wall_of(event.stamp) - start, lanes[event.process])
        axes.annotate(
            str(event.kind),
            position,
            xytext=(2, 4),
            textcoords="offset points",
            fontsize=6,
            rotation=25,
        )


def _group_by_style(events: tuple[Event, ...]) -> dict[_EventStyle, list[Event]]:
    groups: dict[_EventStyle, list[Event]] = {}
    for event in events:
        groups.setdefault(_style_of(event.kind), []).append(event)
    return groups


def _style_of(kind: EventKind) -> _EventStyle:
    if kind in _STYLES:
        return _STYLES[kind]
    for prefix, style in _PREFIX_STYLES:
        if kind.startswith(prefix):
            return style
    return _OTHER_STYLE
