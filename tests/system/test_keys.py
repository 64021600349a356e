"""A request with an idempotency key runs at most once.

Tested with submissions to every instance at once, lost answers of the
platform, a platform outage, and an entry instance that is frozen between the
write of its claim and the answer to it.
"""
import concurrent.futures
import os
import time
import unittest

from tests.system.cluster import Cluster, document, job, wait_for

BUILD = os.environ["BERGAMOT_BUILD"]
TASKS = 2
TTL_S = 1000
SESSION_USE_S = 60  # a session takes claims until this age


class Keys(unittest.TestCase):
    def setUp(self):
        self.cluster = self.enterContext(Cluster(BUILD))
        _, workers = self.cluster.workers("a", 1)
        self.cluster.document = document(workers)
        self.cluster.start_platform()
        for name in ("a1", "a2", "a3"):
            self.cluster.instance(name, "a", {"platform": {
                "reads_per_s": 1000, "writes_per_s": 1000},
                "records": {"ttl_ms": TTL_S * 1000}})
        self.cluster.start()
        self.instances = self.cluster.instances

    def submit(self, instance, key):
        return instance.request("POST", "/v1/jobs", job(TASKS),
                                {"Idempotency-Key": key})[1]

    def at_once(self, key):
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            return list(pool.map(lambda i: self.submit(i, key),
                                 self.instances * 2))

    def starts(self):
        return [start["task"] for start in self.cluster.starts()]

    def test_every_instance_at_once(self):
        answers = self.at_once("k1")
        self.assertEqual({a["outcome"] for a in answers}, {"complete"})
        self.assertEqual(len({a["job"] for a in answers}), 1)
        # The key must outlive the id: the job may run until the id expires.
        state = self.cluster.platform("GET", "/standin/state")
        self.assertGreater(state["session_ttl_s"], TTL_S + SESSION_USE_S)
        self.assertEqual(len(self.starts()), TASKS)
        other = self.instances[0].request(
            "POST", "/v1/jobs", job(TASKS + 1), {"Idempotency-Key": "k1"})
        self.assertEqual((other[0], other[1]["reason"]),
                         (422, "body_mismatch"))
        self.assertEqual(len(self.starts()), TASKS)

    def test_lost_answers(self):
        for round_ in range(3):
            self.cluster.faults(lose_writes=2)
            answers = self.at_once(f"k{round_}")
            self.cluster.faults()
            last = self.submit(self.instances[0], f"k{round_}")
            self.assertEqual(last["outcome"], "complete")
            jobs = {a["job"] for a in answers if a["outcome"] == "complete"}
            self.assertLessEqual(jobs, {last["job"]})
            self.assertEqual(len(self.starts()), TASKS * (round_ + 1))

    def test_platform_out(self):
        self.cluster.faults(out=True)
        answers = self.at_once("k")
        # unknown: an instance cannot tell whether its claim was written.
        self.assertLessEqual({a["outcome"] for a in answers},
                             {"not_run", "unknown"})
        self.assertEqual(self.starts(), [])
        self.cluster.faults()
        answer = wait_for("the platform to recover", lambda: [
            a for a in [self.submit(self.instances[0], "k")]
            if a["outcome"] == "complete"])
        self.assertEqual(len(self.starts()), TASKS)
        self.assertEqual(answer[0]["started"], TASKS)

    def writes(self):
        return self.cluster.platform("GET", "/standin/state")["writes"]

    def freeze_claiming(self, one, key, pool):
        """Freezes an entry instance between its claim's write and answer."""
        before = self.writes()
        self.cluster.faults(slow_ms=1800)
        call = pool.submit(one.request, "POST", "/v1/jobs",
                           job(TASKS, deadline_ms=3000),
                           {"Idempotency-Key": key})
        wait_for("the claim to be written", lambda: self.writes() > before)
        one.process.freeze()
        self.cluster.faults()
        return call

    def test_entry_frozen_past_its_lease(self):
        """The key expires during the freeze, and another entry instance runs
        the job."""
        one, two = [i for i in self.instances
                    if not i.status()["dispatcher"]][:2]
        for instance in (one, two):  # opens a session at each
            self.submit(instance, "warm")
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            for round_ in range(5):
                before = len(self.starts())
                frozen = time.monotonic()
                call = self.freeze_claiming(one, f"k{round_}", pool)
                if len(self.starts()) == before:
                    break
                one.process.thaw()  # frozen too late: retry
                call.result()
            self.cluster.platform("PUT", "/standin/expire")
            second = two.request(
                "POST", "/v1/jobs", job(TASKS, deadline_ms=3000),
                {"Idempotency-Key": f"k{round_}"})[1]
            wait_for("the deadline to pass",
                     lambda: time.monotonic() > frozen + 5)
            one.process.thaw()
            first = call.result()[1]
        self.assertEqual(second["outcome"], "complete")
        self.assertEqual(first["outcome"], "unknown")
        self.assertEqual(len(self.starts()), before + TASKS)


if __name__ == "__main__":
    unittest.main()
