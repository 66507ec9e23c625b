"""Shares of workspaces at the entry of a node, and what operators see of them."""

import json

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.gauges import workspace_share_gauges
from fuchsiagap_node.tests.core.mesh.test_workspaces import KEYED, with_key
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_workspace
from fuchsiagap_standins.mesh.virtual import run_in_memory


async def run_contention(in_scope):
    """Send 40 requests a second of one workspace and 5 of another to 2 slots.

    The server can run 20 requests a second; the quotas are equal. Returns the answered
    shares by workspace, the event lines, and the gauges by label at the end.
    """
    async with a_deployment() as deployment:
        workspaces = [
            a_workspace(name, f"key-{name}", rate=100.0, burst=100.0)
            for name in ("large", "small")
        ]
        deployment.put_config(KEYED, workspaces=workspaces)
        host = deployment.add("certs", slots=2)
        host.server.behave = lambda _: Behaviour(work=100.0)
        await trio.sleep(6.0)
        host.node._contention_scope.applies = lambda: in_scope
        statuses = {"large": [], "small": []}

        async def send(name, number):
            headers = with_key(f"key-{name}")
            answer = await host.send("/read/1", f"{name}-{number}", headers=headers)
            statuses[name].append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(800):
                name = "small" if number % 9 == 0 else "large"
                nursery.start_soon(send, name, number)
                await trio.sleep(1.0 / 45.0)
        gauges = workspace_share_gauges(host.node._workspace_admission)
        served = {name: s.count(200) / len(s) for name, s in statuses.items()}
        lines = [json.loads(line) for line in host.node.event_log.lines()]
        return served, lines, {gauge.labels: gauge.value for gauge in gauges}


class TestWorkspaceAdmission(TestCase):
    def test_workspace_within_its_share_is_served_while_a_large_one_is_shed(self):
        served, lines, gauges = run_in_memory(lambda: run_contention(True))
        # Both may use half of the capacity, so the small one needs half of its share.
        self.assertGreater(served["small"], 0.9)
        self.assertLess(served["large"], 0.6)
        refused = [line for line in lines if line["event"] == "refused"]
        by_large = [line for line in refused if line["workspace"] == "large"]
        self.assertGreater(len(by_large), 0.95 * len(refused))
        self.assertEqual(2, len(gauges))
        self.assertGreater(gauges['workspace="small"'], gauges['workspace="large"'])

    def test_shares_are_equal_outside_the_scope_of_contention_control(self):
        served, lines, gauges = run_in_memory(lambda: run_contention(False))
        self.assertAlmostEqual(served["small"], served["large"], delta=0.15)
        refused = [line for line in lines if line["event"] == "refused"]
        self.assertFalse(any("workspace" in line for line in refused))
        self.assertEqual({}, gauges)
