from testtools import TestCase

from fuchsiagap_standins.mesh.bench_path import measure
from fuchsiagap_standins.mesh.virtual import run_on_loopback


class TestBenchPath(TestCase):
    def test_every_request_is_answered_and_takes_cpu_time(self):
        figures = run_on_loopback(lambda: measure(64))
        self.assertEqual((64, 64), (figures.requests, figures.answered))
        self.assertGreater(figures.us_per_request, 0.0)
