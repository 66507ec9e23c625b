"""HTTP server for the platform stand-in.

``python -m fuchsiagap_standins.platform_app --bind 127.0.0.1:0`` prints the address
that the server listens on. The protocol is described in ``docs/design/standins.md``.
"""

from __future__ import annotations

import base64
import json
import random
import sys
from dataclasses import asdict, fields, replace
from functools import partial
from typing import TYPE_CHECKING, Any

import trio
from absl import flags
from quart import Response, request
from quart_trio import QuartTrio

from fuchsiagap_node.core.ports import (
    Conflict,
    Missing,
    PlatformUnavailable,
    PutResult,
    StoredObject,
)
from fuchsiagap_standins.command_line import new_flags, parse_flags
from fuchsiagap_standins.platform import (
    MAX_VALUE_BYTES,
    WATCH_WAIT,
    ObjectStore,
    PlatformFaults,
)
from fuchsiagap_standins.serving import announce, serve_app, wait_for_stop_signal

if TYPE_CHECKING:
    from collections.abc import Sequence

# Response header that marks a tombstone.
DELETED = "object-deleted"
# Value of if-match and if-none-match that matches every version.
ANY_VERSION = "*"

_FLAGS = new_flags()
_BIND = flags.DEFINE_string(
    "bind", "127.0.0.1:0", "IP:PORT to listen on.", flag_values=_FLAGS
)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the faults.", flag_values=_FLAGS)


def platform_app(store: ObjectStore) -> QuartTrio:
    """Return the HTTP application of a store.

    Parameters
    ----------
    store : ObjectStore
        Store to serve; changes of its faults take effect at once.

    Returns
    -------
    QuartTrio
        The application.
    """
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_VALUE_BYTES
    # Timeouts in seconds; None is no timeout.
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = 10
    _add_objects(app, store)
    _add_control(app, store)
    return app


def _add_objects(app: QuartTrio, store: ObjectStore) -> None:
    @app.get("/objects/<path:name>")
    async def read(name: str) -> Response:
        return _read_response(await store.get(f"/{name}"))

    @app.put("/objects/<path:name>")
    async def write(name: str) -> Response:
        expected = _expected_version()
        if isinstance(expected, Response):
            return expected
        value = await request.get_data(False, False, False)
        return _change_response(await store.put(f"/{name}", value, expected))

    @app.delete("/objects/<path:name>")
    async def delete(name: str) -> Response:
        expected = _expected_version()
        if isinstance(expected, Response):
            return expected
        return _change_response(await store.delete(f"/{name}", expected))

    @app.get("/objects")
    async def list_or_watch() -> Response:
        prefix = request.args.get("prefix", "/")
        after = request.args.get("after", type=int)
        if after is None:
            return _list_response(store, await store.list(prefix))
        wait = request.args.get("wait_ms", WATCH_WAIT, type=float)
        changes = await store.poll(prefix, after, min(wait, WATCH_WAIT))
        return _list_response(store, changes)


def _add_control(app: QuartTrio, store: ObjectStore) -> None:
    @app.get("/control")
    async def show() -> Response:
        shown = {"counts": asdict(store.counts), "faults": asdict(store.faults)}
        return _json(shown | {"version": store.version})

    @app.post("/control/faults")
    async def set_faults() -> Response:
        changes = await request.get_json(force=True)
        known = {field.name for field in fields(PlatformFaults)}
        if not isinstance(changes, dict) or not changes.keys() <= known:
            return Response(f"expected an object with some of {sorted(known)}", 400)
        store.set_faults(replace(store.faults, **changes))
        return _json(asdict(store.faults))


def _expected_version() -> int | Response | None:
    if request.headers.get("if-none-match") == ANY_VERSION:
        return 0
    tag = request.headers.get("if-match", ANY_VERSION)
    if tag == ANY_VERSION:
        return None
    text = tag.strip('"')
    if not text.isdecimal():
        return Response(f'if-match is {tag}; expected a version such as "17"', 400)
    return int(text)


def _read_response(result: StoredObject | Missing | PlatformUnavailable) -> Response:
    if isinstance(result, StoredObject):
        return _object_response(result, 200)
    if isinstance(result, Missing):
        return Response(f"no object at {result.path}", 404)
    return _unavailable()


def _change_response(result: PutResult) -> Response:
    if isinstance(result, StoredObject):
        return _object_response(replace(result, value=b""), 200)
    if isinstance(result, Conflict):
        if result.current is None:
            return Response("no object at this path yet", 412)
        return _object_response(result.current, 412)
    return _unavailable()


def _object_response(stored: StoredObject, status: int) -> Response:
    response = Response(stored.value, status, content_type="application/octet-stream")
    response.headers["etag"] = f'"{stored.version}"'
    if stored.deleted:
        response.headers[DELETED] = "1"
    return response


def _list_response(
    store: ObjectStore, result: tuple[StoredObject, ...] | PlatformUnavailable
) -> Response:
    if isinstance(result, PlatformUnavailable):
        return _unavailable()
    objects = [
        {
            "path": stored.path,
            "version": stored.version,
            "deleted": stored.deleted,
            "value": base64.b64encode(stored.value).decode(),
        }
        for stored in result
    ]
    return _json({"version": store.version, "objects": objects})


def _unavailable() -> Response:
    return Response("platform unavailable", 503)


def _json(content: dict[str, Any]) -> Response:
    return Response(json.dumps(content), content_type="application/json")


async def run_platform(bind: str, seed: int) -> None:
    """Serve an empty object store over HTTP until SIGTERM or SIGINT."""
    # Over HTTP, the timeout of the caller ends a slow call.
    faults = PlatformFaults(patience=float("inf"))
    app = platform_app(ObjectStore(random.Random(seed), faults))
    async with trio.open_nursery() as nursery:
        announce(await nursery.start(serve_app, app, bind))
        await wait_for_stop_signal()
        nursery.cancel_scope.cancel()


def main(argv: Sequence[str]) -> None:
    """Run the server with the flags in `argv`."""
    parse_flags(_FLAGS, argv, __doc__ or "")
    trio.run(partial(run_platform, _BIND.value, _SEED.value))


if __name__ == "__main__":
    main(sys.argv)
