"""API keys, as seen by callers and backend servers."""

import trio
from testtools import TestCase

from fuchsiagap_standins.mesh.deployment import a_deployment, a_route, a_workspace
from fuchsiagap_standins.mesh.virtual import run_in_memory

KEYED = a_route("read")
PUBLIC = a_route("open", public=True)
ONE = a_workspace("one", "key-of-one")
TWO = a_workspace("two", "key-of-two", "second-key-of-two")
BOUND_MS = 5_000.0


def with_key(key):
    """Return the headers of a caller with a key."""
    return {"Api-Key": key}


async def two_hosts(deployment, *workspaces, **settings):
    """Add a host of another service and one of the called service; return both.

    The workspaces are configured, and both nodes have adopted their keys.
    """
    deployment.put_config(KEYED, PUBLIC, workspaces=workspaces)
    near = deployment.add("bookings", **settings)
    far = deployment.add("certs", **settings)
    await deployment.settle()
    return near, far


def header_lines(server):
    """Return the header lines of the last request at a server."""
    return server.heads[-1].headers.split(b"\r\n")


def all_logs_and_metrics(deployment):
    """Return all log lines and metrics of all nodes."""
    parts = []
    for host in deployment.hosts:
        parts.extend(host.node.event_log.lines())
        parts.append(host.node.event_log.metrics().encode())
    return b"".join(parts)


class TestKeys(TestCase):
    def test_valid_key_is_admitted_and_only_its_workspace_reaches_server(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, TWO)
                answer = await near.send(
                    "/read/1", "r1", headers=with_key("second-key-of-two")
                )
                await trio.sleep(0.1)
                lines = header_lines(far.server)
                return answer.status, lines, all_logs_and_metrics(deployment)

        status, lines, logged = run_in_memory(main)
        self.assertEqual(200, status)
        self.assertIn(b"Workspace: two", lines)
        self.assertNotIn(b"second-key-of-two", b"".join(lines))
        self.assertNotIn(b"second-key-of-two", logged)

    def test_request_without_valid_key_reaches_no_server(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE)
                statuses = []
                for number, headers in enumerate(
                    (
                        {},
                        with_key("nobodys-key"),
                        with_key(""),
                        with_key("key-of-one\xe9"),
                        with_key("key-of-one key-of-one"),
                        with_key("k" * 9_000),
                        {"Workspace": "one"},
                        {"Api-Key": "key-of-one", "api-key": "key-of-one"},
                    )
                ):
                    answer = await near.send("/read/1", f"r{number}", headers=headers)
                    statuses.append(answer.status)
                return statuses, len(far.server.heads), all_logs_and_metrics(deployment)

        statuses, heads, logged = run_in_memory(main)
        self.assertEqual([401] * 8, statuses)
        self.assertEqual(0, heads)
        self.assertNotIn(b"nobodys-key", logged)

    def test_workspace_header_is_set_from_key_not_by_caller(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE, TWO)
                claim = {"Workspace": "two", "workspace": "two"}
                await near.send(
                    "/read/1", "r1", headers={**with_key("key-of-one"), **claim}
                )
                keyed = header_lines(far.server)
                answer = await near.send("/open/1", "r2", headers=claim)
                return keyed, answer.status, header_lines(far.server)

        keyed, status, public = run_in_memory(main)
        named = [line for line in keyed if line.lower().startswith(b"workspace:")]
        self.assertEqual([b"Workspace: one"], named)
        self.assertEqual(200, status)
        self.assertEqual([], [x for x in public if b"workspace" in x.lower()])

    def test_public_route_needs_no_key_and_forwards_none(self):
        async def main():
            async with a_deployment() as deployment:
                near, far = await two_hosts(deployment, ONE)
                answer = await near.send(
                    "/open/1", "r1", headers=with_key("key-of-one")
                )
                return answer.status, b"".join(header_lines(far.server))

        status, lines = run_in_memory(main)
        self.assertEqual(200, status)
        self.assertNotIn(b"key-of-one", lines)

    def test_nested_call_needs_no_key_on_public_routes_only(self):
        async def main():
            async with a_deployment() as deployment:
                _, far = await two_hosts(deployment, ONE)
                found = []

                async def call(request_id):
                    if "." in request_id:
                        return
                    for number, path in enumerate(("/open/1", "/read/1")):
                        answer = await far.send(path, f"{request_id}.{number}")
                        found.append(answer.status)

                far.server.on_run = call
                await far.send("/read/1", "r1", headers=with_key("key-of-one"))
                return found

        self.assertEqual([200, 401], run_in_memory(main))

    def test_removed_workspace_is_refused_and_new_one_admitted(self):
        async def main():
            async with a_deployment() as deployment:
                near, _ = await two_hosts(deployment, ONE)
                deployment.put_config(KEYED, workspaces=(TWO,))
                await trio.sleep(2.0)
                statuses = []
                for number, key in enumerate(("key-of-one", "key-of-two")):
                    answer = await near.send(
                        "/read/1", f"r{number}", headers=with_key(key)
                    )
                    statuses.append(answer.status)
                return statuses

        self.assertEqual([401, 200], run_in_memory(main))

    def test_workspace_priority_ranks_before_route_priority(self):
        async def main():
            first = a_workspace("first", "key-first", priority=0)
            second = a_workspace("second", "key-second", priority=1)
            routes = a_route("late", priority=4), a_route("soon", priority=0)
            async with a_deployment() as deployment:
                deployment.put_config(*routes, workspaces=(first, second))
                host = deployment.add("certs")
                await deployment.settle()
                ranks = {}
                submit = host.node.backend_queue.submit

                def record(job):
                    ranks[job.call.request_id] = job.call.rank
                    submit(job)

                host.node.backend_queue.submit = record
                for request_id, path, key in (
                    ("first-late", "/late/1", "key-first"),
                    ("second-soon", "/soon/1", "key-second"),
                    ("second-late", "/late/1", "key-second"),
                ):
                    await host.send(path, request_id, headers=with_key(key))
                return sorted(ranks, key=ranks.get), len(set(ranks.values()))

        self.assertEqual(
            (["first-late", "second-soon", "second-late"], 3), run_in_memory(main)
        )

    def test_same_request_of_two_workspaces_has_two_fingerprints(self):
        async def main():
            async with a_deployment() as deployment:
                _, far = await two_hosts(deployment, ONE, TWO)
                prints = []
                submit = far.node.backend_queue.submit

                def record(job):
                    prints.append(job.call.fingerprint)
                    submit(job)

                far.node.backend_queue.submit = record
                for number, key in enumerate(("key-of-one", "key-of-two")):
                    await far.send("/read/1", f"r{number}", headers=with_key(key))
                return prints

        one, two = run_in_memory(main)
        self.assertNotEqual(one, two)

    def test_no_key_is_needed_without_workspaces(self):
        async def main():
            async with a_deployment(KEYED) as deployment:
                near = deployment.add("bookings", revocation=BOUND_MS)
                deployment.add("certs", revocation=BOUND_MS)
                await deployment.settle()
                for host in deployment.hosts:
                    host.store.down = True
                await trio.sleep(10.0)
                return await near.send("/read/1", "r1")

        self.assertEqual(200, run_in_memory(main).status)
