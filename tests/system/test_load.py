"""The history violates no invariant under load with repeats and cancels.

Also checks the totals in the load tool's report. No time is checked.
"""
import json
import os
import subprocess
import unittest

from tests.system.cluster import Cluster, document
from tests.system.history import History, Request, read_workers

BUILD = os.environ["BERGAMOT_BUILD"]


class Load(unittest.TestCase):
    def run_load(self, cluster, *arguments):
        command = [cluster.program("packages/ctl/bergamotctl"), "load",
                   "--json", "--seconds", "2", "--run-median", "20"]
        for i in cluster.instances:
            command += ["-i", f"127.0.0.1:{i.callers},{i.data_centre},1",
                        "-m", f"127.0.0.1:{i.operators}"]
        for dc in ("a", "b"):
            command += ["-w", f"{dc},4,4,2"]
        run = subprocess.run(command + list(arguments), check=True,
                             stdout=subprocess.PIPE)
        return json.loads(run.stdout)

    def history(self, cluster, path):
        with open(path, encoding="utf-8") as lines:
            requests = [Request(**json.loads(line)) for line in lines]
        return History(requests, read_workers(cluster.records))

    def test_repeats_and_cancels(self):
        with Cluster(BUILD) as cluster:
            workers = []
            for dc in ("a", "b"):
                _, found = cluster.workers(dc, 4, 4, extra=["--slowest", 2])
                workers += found
            cluster.document = document(workers, services=[
                {"name": "quote", "max_tasks": 100}])
            for name in ("a1", "a2", "b1"):
                cluster.instance(name, name[0])
            cluster.start()
            requests = os.path.join(cluster.folder, "requests.jsonl")
            report = self.run_load(
                cluster, "--rate", "60", "--resubmit", "0.5", "--never-fits",
                "0.05", "--cancel-at", "1", "--cancel", "50",
                "--declared-factor", "10", "--requests", requests)
            outcomes = report["outcomes"]
            self.assertEqual(sum(outcomes.values()), report["jobs"])
            self.assertGreater(outcomes["complete"], 0)
            self.assertGreater(outcomes["not_run never_fits"], 0)
            self.assertEqual(report["resubmissions_mismatched"], 0)
            history = self.history(cluster, requests)
            self.assertEqual(history.violations(), [])
            self.assertGreater(len(history.requests), report["jobs"])
            self.assertEqual(len(history.starts), report["starts"])


if __name__ == "__main__":
    unittest.main()
