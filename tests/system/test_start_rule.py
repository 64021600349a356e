"""Each task of a submission starts at most once; "not run" is true.

Workers violate the targets' protocol in every way. No task reaches a worker
twice, except after a typed refusal, and the job's outcome states exactly what
is known.
"""
import os
import unittest

from tests.system.cluster import Cluster, document, wait_for
from tests.system.faulty_worker import FaultyWorker

BUILD = os.environ["BERGAMOT_BUILD"]

# fault, outcome, reason, whether the task may still run and must be stopped
FAULTS = (
    ("well", "complete", "", False),
    ("twice", "complete", "", False),
    ("close", "failed", "task_unknown", True),
    ("reset", "failed", "task_unknown", True),
    ("truncated", "failed", "task_unknown", True),
    ("other_echo", "failed", "task_unknown", True),
    ("no_echo", "failed", "task_unknown", True),
    ("redirect", "failed", "task_failed", False),
    ("junk", "failed", "task_unknown", True),
    ("oversize", "failed", "answer_too_large", False),
    ("error", "failed", "task_failed", False),
    ("bad_json", "failed", "task_failed", False),
    ("late", "failed", "deadline", True),
)


def job_of(faults, **more):
    return {"service": "quote", "tasks": [
        {"body": {"fault": fault}} for fault in faults], **more}


class StartRule(unittest.TestCase):
    def run_on(self, workers, check):
        with Cluster(BUILD) as cluster:
            cluster.document = document([w.entry for w in workers])
            instance = cluster.instance("a1", "a", {
                "targets": {"answer_bytes": 4096},
                "limits": {"breaker": False}})
            cluster.start()
            check(instance)

    def assert_outcome(self, answer, outcome, reason):
        self.assertEqual((answer["outcome"], answer.get("reason", "")),
                         (outcome, reason))

    def test_faults_on_a_kept_alive_connection(self):
        def check(instance):
            for fault, outcome, reason, unknown in FAULTS:
                with self.subTest(fault=fault):
                    del worker.seen[:]
                    _, answer, _ = instance.submit(
                        job_of(["well", fault], deadline_ms=1500))
                    self.assert_outcome(answer, outcome, reason)
                    starts = worker.starts()
                    self.assertEqual(len(starts), len(set(starts)), starts)
                    self.assertEqual(answer.get("started", 2), 2)
                    self.assertNotIn("/again", [s[1] for s in worker.seen])
                    if unknown:
                        wait_for("the task to be stopped",
                                 lambda: worker.tokens("DELETE"))
                        self.assertLessEqual(worker.tokens("DELETE"),
                                             worker.tokens("POST"))
            self.assertGreaterEqual(
                instance.metrics()["bergamot_answers_mismatched"], 2)
        with FaultyWorker("f1") as worker:
            self.run_on([worker], check)

    def test_refusals_are_retried_elsewhere(self):
        def check(instance):
            for _ in range(5):
                _, answer, _ = instance.submit(job_of(["well"] * 4))
                self.assert_outcome(answer, "complete", "")
            starts = good.starts()
            self.assertEqual(len(starts), len(set(starts)))
            self.assertEqual(len(starts), 20)
            self.assertTrue(bad.starts())
        for fault in ("refuse", "leave"):
            with self.subTest(fault=fault), \
                    FaultyWorker("bad", 2, fault) as bad, \
                    FaultyWorker("good", 2) as good:
                self.run_on([bad, good], check)

    def test_refused_everywhere_is_not_run(self):
        def check(instance):
            _, answer, _ = instance.submit(
                job_of(["well"] * 2, deadline_ms=500))
            self.assertEqual(answer["outcome"], "not_run")
            self.assertEqual(answer.get("started", 0), 0)
        with FaultyWorker("bad", 2, "refuse") as bad:
            self.run_on([bad], check)

    def test_no_connection_is_not_started(self):
        def check(instance):
            _, answer, _ = instance.submit(job_of(["well"] * 4))
            self.assert_outcome(answer, "complete", "")
            self.assertEqual(len(good.starts()), 4)
        with FaultyWorker("good", 1) as good:
            with FaultyWorker("closed", 1) as closed:
                pass  # from here on its port refuses connections
            self.run_on([closed, good], check)


if __name__ == "__main__":
    unittest.main()
