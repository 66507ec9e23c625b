"""Gauges on the metrics page of a node, and its load events."""

import json

import trio
from testtools import TestCase

from fuchsiagap.core.build_info import build_info
from fuchsiagap_node.core.mesh.http_client import HttpClient
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory


async def metrics_of(host):
    """Return the metrics of a node by name and labels."""
    client = HttpClient(host.node.cfg.addresses.metrics, HeaderNames())
    answer = await client.call("GET", "/metrics", b"", 1_000.0)
    client.close()
    lines = answer.body.decode().splitlines()
    return {name: float(value) for name, _, value in (x.rpartition(" ") for x in lines)}


class TestGauges(TestCase):
    def test_running_code_is_named_on_the_metrics_page_and_in_the_log(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                lines = [json.loads(line) for line in host.node.event_log.lines()]
                return await metrics_of(host), lines

        metrics, lines = run_in_memory(main)
        info = build_info()
        labels = f'version="{info.version}",digest="{info.digest}"'
        labels += f',python="{info.python}"'
        self.assertEqual(1.0, metrics[f"fuchsiagap_build_info{{{labels}}}"])
        started = next(line for line in lines if line["event"] == "started")
        self.assertEqual(info.digest, started["digest"])
        self.assertEqual(info.version, started["version"])

    def test_age_of_an_unanswered_store_request_grows(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                await trio.sleep(1.0)
                early = (await metrics_of(host))["fuchsiagap_store_request_age_ms{}"]
                await trio.sleep(2.0)
                late = (await metrics_of(host))["fuchsiagap_store_request_age_ms{}"]
                return late - early

        self.assertAlmostEqual(2_000.0, run_in_memory(main), delta=5.0)

    def test_age_of_the_confirmed_version_grows_until_the_store_confirms_it(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                deployment.put_config(a_route("read"))
                await trio.sleep(1.0)
                early = (await metrics_of(host))["fuchsiagap_config_confirmed_age_ms{}"]
                host.store.down = True
                await trio.sleep(4.0)
                late = (await metrics_of(host))["fuchsiagap_config_confirmed_age_ms{}"]
                return early, late - early

        early, grown = run_in_memory(main)
        self.assertGreaterEqual(early, 0.0)
        self.assertAlmostEqual(4_000.0, grown, delta=5.0)

    def test_gauges_follow_lost_servers_and_a_lost_store(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add("certs") for _ in range(3)]
                await deployment.settle()
                await hosts[0].send("/read/1", "r1")
                before = await metrics_of(hosts[0])
                hosts[0].store.down = True
                hosts[2].scope.cancel()
                await trio.sleep(9.0)
                return before, await metrics_of(hosts[0])

        before, after = run_in_memory(main)
        certs = '{service="certs"}'
        self.assertEqual(1, before["fuchsiagap_config_version{}"])
        self.assertEqual(1, before["fuchsiagap_backend_ready{}"])
        self.assertEqual(3, before["fuchsiagap_servers_usable" + certs])
        self.assertEqual(2, after["fuchsiagap_servers_usable" + certs])
        self.assertEqual(3, after["fuchsiagap_servers_known" + certs])
        self.assertGreater(after["fuchsiagap_store_heard_age_ms{}"], 2_000)
        share = 'fuchsiagap_admitted_share{service="certs",route="read"}'
        self.assertEqual(1, before[share])


class TestLoadEvents(TestCase):
    def test_load_event_shows_the_load_and_the_admitted_share(self):
        async def main():
            async with a_deployment(a_route("read", priority=1)) as deployment:
                host = deployment.add("certs", slots=2)
                host.server.behave = lambda _: Behaviour(work=100.0)
                await deployment.settle()
                idle = host.node.event_log.counts["events", "load"]
                async with trio.open_nursery() as nursery:
                    for number in range(120):
                        nursery.start_soon(host.send, "/read/1", f"r{number}")
                        await trio.sleep(0.025)
                return idle, [json.loads(line) for line in host.node.event_log.lines()]

        idle, lines = run_in_memory(main)
        self.assertEqual(0, idle)
        loads = [line for line in lines if line["event"] == "load"]
        self.assertGreaterEqual(len(loads), 3)
        full = max(loads, key=lambda line: line["offered"])
        self.assertEqual((2, 2), (full["running"], full["places"]))
        self.assertGreater(full["offered"], 2.0)
        share, fullness = full["let_in"]["certs read"]
        self.assertLess(share, 1.0)
        self.assertGreater(fullness, 1.0)
