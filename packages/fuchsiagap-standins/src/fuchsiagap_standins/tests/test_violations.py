"""Each kind of violation is found, and correct outcomes are not reported."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase

from fuchsiagap_standins.caller import CallerReport, RouteReport
from fuchsiagap_standins.request_senders import RequestOutcome
from fuchsiagap_standins.run_log import Run, RunState, run_from_json
from fuchsiagap_standins.violations import find_violations

ISSUE_RUN = Run("certs-1", "certs/issue", False, "n1", "0", "c1", 0.0, RunState.DONE)
CHILD_RUN = replace(ISSUE_RUN, route="results/record", place="0.1")
LOOKUP_RUN = replace(ISSUE_RUN, route="results/lookup", idempotent=True)


def report_of(**outcomes):
    """Return a report of one route with the given number of requests per outcome."""
    row = RouteReport(sent=sum(outcomes.values()))
    for name, count in outcomes.items():
        row.outcomes[RequestOutcome(name)] = count
    return CallerReport(routes={"certs/issue": row})


def refused(nonce):
    report = report_of(refused=1)
    report.refused.append(nonce)
    return report


class FindViolationsTest(TestCase):
    def test_second_run_of_a_non_idempotent_call(self):
        for run in (ISSUE_RUN, CHILD_RUN):
            again = replace(run, instance="certs-2", state=RunState.CANCELLED)
            found = find_violations(report_of(answered=1), [run, again], 0)
            self.assertEqual((("n1", run.place, run.route),), found.double_runs)
            self.assertEqual(1, found.total)

    def test_idempotent_and_backed_out_runs_are_no_violation(self):
        backed_out = replace(ISSUE_RUN, state=RunState.BACKED_OUT)
        other = replace(ISSUE_RUN, nonce="n2")
        runs = [ISSUE_RUN, backed_out, other, LOOKUP_RUN, LOOKUP_RUN]
        self.assertEqual(0, find_violations(report_of(answered=2), runs, 0).total)

    def test_refusal_of_a_run_or_its_child_is_false(self):
        backed_out = replace(ISSUE_RUN, state=RunState.BACKED_OUT)
        for runs in ([ISSUE_RUN], [LOOKUP_RUN], [backed_out, CHILD_RUN]):
            found = find_violations(refused("n1"), runs, 0)
            self.assertEqual(("n1",), found.false_refusals)

    def test_refusal_without_a_run_is_true(self):
        backed_out = replace(ISSUE_RUN, state=RunState.BACKED_OUT)
        for runs in ([], [backed_out], [replace(ISSUE_RUN, nonce="n2")]):
            self.assertEqual(0, find_violations(refused("n1"), runs, 0).total)

    def test_wrong_answers_at_callers_and_backend_servers(self):
        self.assertEqual(5, find_violations(report_of(wrong=2), [], 3).total)

    def test_request_without_an_outcome(self):
        report = report_of(answered=2)
        report.routes["certs/issue"].sent = 3
        self.assertEqual(1, find_violations(report, [], 0).open_requests)

    def test_run_round_trips_through_json(self):
        self.assertEqual(CHILD_RUN, run_from_json(CHILD_RUN.to_json()))
