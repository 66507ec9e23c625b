"""Late copies of responses from a backend server, on connections that are reused."""

import json
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap.core.retries.backend_budget import ServiceRetryLimits
from fuchsiagap_standins.mesh.backend_server import Behaviour, ResponseMode
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

READ = a_route("read")
WRITE = a_route("write", idempotent=False)
AMPLE = ServiceRetryLimits(1.0, 100.0, 10_000.0)


def refuse_once(n_copies, refused, req):
    """Refuse a request the first time, with late copies of the refusal."""
    if req.target in refused:
        return Behaviour(work=50.0)
    refused.add(req.target)
    return Behaviour(ResponseMode.REFUSE, late_copies=n_copies)


class TestLateResponses(TestCase):
    def test_late_copy_of_a_refusal_is_not_the_answer_to_the_next_sending(self):
        # The copy states that the request was not run, while it runs.
        async def main(n_copies):
            async with a_deployment(WRITE) as deployment:
                hosts = [deployment.add("certs", budget=AMPLE) for _ in range(2)]
                for host in hosts:
                    host.server.behave = partial(refuse_once, n_copies, set())
                await deployment.settle()
                statuses = []
                for n in range(4):
                    answer = await hosts[0].send(f"/write/{n}", f"r{n}", method="POST")
                    statuses.append(answer.status)
                return statuses, dict(hosts[0].server.runs + hosts[1].server.runs)

        once = {f"r{n}": 1 for n in range(4)}
        for n_copies in (1, 2):
            self.assertEqual(([200] * 4, once), run_in_memory(partial(main, n_copies)))

    def test_error_without_identifier_answers_no_request(self):
        async def main(mode):
            async with a_deployment(WRITE) as deployment:
                host = deployment.add("certs", budget=AMPLE)
                error = Behaviour(mode, status=500, late_copies=1, echoes_id=False)
                host.server.behave = lambda req: (
                    error if req.target == b"/write/error" else Behaviour(work=50.0)
                )
                await deployment.settle()
                statuses = []
                for n, path in enumerate(["one", "error", "two", "three"]):
                    answer = await host.send(f"/write/{path}", f"r{n}", method="POST")
                    statuses.append(answer.status)
                return statuses

        for mode in (ResponseMode.ANSWER, ResponseMode.REFUSE):
            statuses = run_in_memory(partial(main, mode))
            self.assertEqual([200, 504, 200, 200], statuses)

    def test_late_copy_without_identifier_is_no_promise_that_a_request_did_not_run(
        self,
    ):
        async def main(status):
            async with a_deployment(WRITE) as deployment:
                host = deployment.add("certs", budget=AMPLE)
                refusal = Behaviour(
                    ResponseMode.REFUSE, late_copies=2, copies_id=False, status=status
                )
                host.server.behave = lambda req: (
                    refusal if req.target == b"/write/refused" else Behaviour(work=50.0)
                )
                await deployment.settle()
                statuses = []
                for n, path in enumerate(["one", "refused", "two", "three"]):
                    answer = await host.send(f"/write/{path}", f"r{n}", method="POST")
                    statuses.append(answer.status)
                return statuses, dict(host.server.runs)

        for status in (503, 421, 400):
            statuses, runs = run_in_memory(partial(main, status))
            self.assertEqual([200, 503, 200, 200], statuses)
            self.assertEqual({"r0": 1, "r2": 1, "r3": 1}, runs)

    def test_log_shows_each_sending_of_a_refused_request(self):
        async def main():
            async with a_deployment(WRITE) as deployment:
                hosts = [deployment.add("certs", budget=AMPLE) for _ in range(2)]
                for host in hosts:
                    host.server.behave = partial(refuse_once, 1, set())
                await deployment.settle()
                for n in range(3):
                    await hosts[0].send(f"/write/{n}", f"r{n}", method="POST")
                lines = [x for host in hosts for x in host.node.event_log.lines()]
                return [json.loads(line) for line in lines]

        events = run_in_memory(main)
        refused = [e for e in events if e["event"] == "call-unanswered"]
        self.assertEqual({"r0", "r1", "r2"}, {e["request"] for e in refused})
        for event in refused:
            self.assertEqual(event["request"], event["identifier"])
            self.assertFalse(event["ran"])
        skipped = [e for e in events if e["event"] == "response-skipped"]
        self.assertTrue(skipped)
        sent = {(e["connection"], e["identifier"]) for e in refused}
        self.assertLessEqual(
            {(e["connection"], e["identifier"]) for e in skipped}, sent
        )
        answered = [e for e in events if e["event"] == "answered"]
        for event in answered:
            self.assertEqual(
                "not run: backend server refused: 503", event["outcomes"][0]
            )
            self.assertEqual("200", event["outcomes"][-1])

    def test_connection_carries_an_identifier_only_once(self):
        # A nested call comes again with its identifier when its parent is repeated.
        async def main():
            async with a_deployment(READ) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                for request_id in ("again", *(f"r{n}" for n in range(20)), "again"):
                    await host.send("/read/1", request_id)
                await trio.sleep(0.1)
                return host.server.connections

        self.assertEqual(2, run_in_memory(main))

    def test_connection_is_replaced_after_many_requests(self):
        # The identifiers that a connection has carried take memory.
        async def main():
            async with a_deployment(READ) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                for n in range(600):
                    await host.send("/read/1", f"r{n}")
                return host.server.connections

        self.assertEqual(3, run_in_memory(main))
