"""Idempotency keys under faults of the platform; callers repeat requests.

Each test names the invariants that it puts at risk; the history checker then
verifies all invariants.
"""
import concurrent.futures
import os
import time
import unittest

from tests.system.cluster import job
from tests.system.history import read_workers
from tests.system.workload import LoadedCluster

BUILD = os.environ["BERGAMOT_BUILD"]


class Keys(unittest.TestCase):
    def loaded_cluster(self, seed, **more):
        return LoadedCluster(BUILD, self, seed, platform=True,
                             instances=("a1", "a2", "b1"), **more)

    def test_lost_answers_and_owner_killed(self):
        """Two faults at once: keyed jobs at most once; not run is true: an
        owner is killed while answers to claims are lost after the write."""
        with self.loaded_cluster(41, keyed=0.7, cancel=0) as cluster:
            for _ in range(3):
                cluster.faults(lose_writes=6)
                cluster.callers.wait_complete(20)
            owner = cluster.dispatcher()
            cluster.faults(lose_writes=20)
            owner.process.kill()
            cluster.callers.wait_complete(10)
            owner.start()
            cluster.callers.wait_complete(20, [owner.name])

    def test_platform_out_at_the_claim(self):
        """Not run is true: nothing runs for a key that cannot be claimed, and
        submissions with an id are still served."""
        with self.loaded_cluster(42, keyed=0.5, cancel=0) as cluster:
            for faults in ({"out": True}, {"slow_ms": 700}):
                cluster.faults(**faults)
                cluster.callers.wait_complete(20)
            cluster.faults()
            cluster.callers.wait_complete(20)
        refused = [r for r in cluster.callers.requests
                   if r.key and r.reason == "platform_out"]
        self.assertGreater(len(refused), 0)

    def test_holder_frozen_while_its_lease_lapses(self):
        """Keyed jobs at most once: the holder of a claim is frozen before it
        receives the answer to the claim. Its session and its id expire, the
        key's job runs at another instance, and the holder continues without
        having noticed."""
        extra = {"records": {"ttl_ms": 14000, "answer_ms": 14000}}
        with self.loaded_cluster(43, extra=extra, callers=1) as cluster:
            cluster.callers.ending.set()  # no other load
            holder = cluster.dispatcher()
            other = next(i for i in cluster.instances if i.data_centre == "b")
            body = job(2, deadline_ms=40000)
            pool = self.enterContext(concurrent.futures.ThreadPoolExecutor())
            for attempt in range(5):
                keys = [f"{attempt}-{n}" for n in range(4)]
                self.ask(cluster, holder, body, f"{attempt}-session")
                cluster.faults(slow_ms=1900)
                begun = self.starts(cluster)
                first = [pool.submit(self.ask, cluster, holder, body, key)
                         for key in keys]
                time.sleep(0.7)  # the claims are written, not answered
                holder.process.freeze()
                cluster.faults()
                time.sleep(2)
                if self.starts(cluster) == begun:
                    break  # frozen before the answers arrived
                holder.process.thaw()
            time.sleep(13)  # until the ids have expired
            cluster.platform("PUT", "/standin/expire")
            again = [self.ask(cluster, other, body, key) for key in keys]
            holder.process.thaw()
            late = [call.result() for call in first]
            self.assertEqual([r.outcome for r in again], ["complete"] * 4)
            print([(r.outcome, r.reason) for r in late], end=" ")

    def ask(self, cluster, instance, body, key):
        return cluster.callers.request("submit", "", instance, body, key, 60)

    def starts(self, cluster):
        return sum(line["event"] == "start"
                   for line in read_workers(cluster.records))


if __name__ == "__main__":
    unittest.main()
