"""Three data centres share a team's quota.

If each dispatcher admitted the whole quota, the system would admit three times
as much.
"""
import os
import threading
import time
import unittest

from tests.system.cluster import Cluster, document, job

BUILD = os.environ["BERGAMOT_BUILD"]
QUOTA = 100  # tasks/s
BURST = 100
TASKS = 5
SETTLE_S = 4  # the first heartbeats set the shares
LOAD_S = 8


class Quota(unittest.TestCase):
    def test_shared_by_data_centres(self):
        with Cluster(BUILD) as cluster:
            workers = [w for dc in "abc" for w in cluster.workers(dc, 2)[1]]
            cluster.document = document(workers, teams=[
                {"name": "t", "tasks_per_s": QUOTA, "burst": BURST}])
            for dc in "abc":
                cluster.instance(dc + "1", dc)
            cluster.start()
            time.sleep(SETTLE_S)
            admitted = []
            over = threading.Event()

            def ask(instance):
                while not over.is_set():
                    answer = instance.submit(job(TASKS, 5, team="t"))[1]
                    if answer["reason"] == "over_quota":
                        time.sleep(0.01)
                    else:
                        admitted.append(TASKS)

            begin = time.monotonic()
            callers = [threading.Thread(target=ask, args=(i,))
                       for i in cluster.instances]
            for caller in callers:
                caller.start()
            time.sleep(LOAD_S)
            over.set()
            for caller in callers:
                caller.join()
            elapsed = time.monotonic() - begin
            # A whole quota for each dispatcher would admit three times that.
            self.assertLess(sum(admitted), 1.5 * (QUOTA * elapsed + BURST))


if __name__ == "__main__":
    unittest.main()
