"""What the metrics page says a node believes."""

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.http_call import HttpCaller
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_on_loopback


async def metrics_of(host):
    """Return a node's metrics, by name and labels."""
    caller = HttpCaller(host.node.cfg.addresses.metrics, HeaderNames())
    answer = await caller.call("GET", "/metrics", b"", 1_000.0)
    caller.close()
    lines = answer.body.decode().splitlines()
    return {name: float(value) for name, _, value in (x.rpartition(" ") for x in lines)}


class TestGauges(TestCase):
    def test_beliefs_and_their_age(self):
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

        before, after = run_on_loopback(main)
        certs = '{service="certs"}'
        self.assertEqual(1, before["fuchsiagap_config_version{}"])
        self.assertEqual(1, before["fuchsiagap_backend_ready{}"])
        self.assertEqual(3, before["fuchsiagap_servers_usable" + certs])
        self.assertEqual(2, after["fuchsiagap_servers_usable" + certs])
        self.assertEqual(3, after["fuchsiagap_servers_known" + certs])
        self.assertGreater(after["fuchsiagap_store_heard_age_ms{}"], 2_000)
        share = 'fuchsiagap_admitted_share{service="certs",route="read"}'
        self.assertEqual(1, before[share])
