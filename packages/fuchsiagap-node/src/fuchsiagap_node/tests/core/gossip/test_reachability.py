"""Reports on the reachability of other data centres."""

from unittest.mock import Mock, patch

import trio
from testtools import TestCase

from fuchsiagap_node.core.gossip import reachability


class TestReachability(TestCase):
    def test_data_centre_without_members_is_logged_as_it_is_recorded(self):
        state = Mock()
        state.membership.cfg = Mock(cross_probe_attempts=2, probe_timeout=100.0)
        state.membership.set_reachable.return_value = True
        with (
            patch.object(reachability.neighbours, "in_data_centre", return_value=()),
            patch.object(reachability, "was_paused", return_value=False),
            patch.object(reachability, "_LOG") as log,
        ):
            trio.run(reachability._probe_data_centre, state, "hall-b")
        state.membership.set_reachable.assert_called_once_with("hall-b", True)
        ((template, *values),) = [call.args for call in log.info.call_args_list]
        self.assertEqual("data centre hall-b reachable: True", template % tuple(values))
