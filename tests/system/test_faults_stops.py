"""Planned stops and other faults; callers repeat requests at all instances.

Each test names the invariants that it puts at risk; the history checker then
verifies all invariants.
"""
import os
import threading
import time
import unittest

from tests.system.cluster import wait_for
from tests.system.workload import LoadedCluster

BUILD = os.environ["BERGAMOT_BUILD"]
NAMES = ("a1", "a2", "a3", "b1", "b2")


class Stops(unittest.TestCase):
    def loaded_cluster(self, seed, **more):
        return LoadedCluster(BUILD, self, seed, instances=NAMES, cancel=0,
                             extra={"stop": {"grace_ms": 200}}, **more)

    def restart(self, cluster, *instances):
        for i in instances:
            i.start()
        wait_for("all to see all",
                 lambda: all(cluster.sees_all(i) for i in cluster.instances))

    def test_rolling_stop(self):
        """Planned stops cut off no request: all instances stop in turn."""
        with self.loaded_cluster(31) as cluster:
            for instance in cluster.instances:
                cluster.stop(instance)
                self.restart(cluster, instance)
                cluster.callers.wait_complete(20)

    def test_two_at_once(self):
        """Planned stops cut off no request: owner and successor are stopped at
        once, and one during the other's hand-over."""
        with self.loaded_cluster(32) as cluster:
            for pause in (0, 0.25):
                owner = cluster.dispatcher()
                other = next(i for i in cluster.instances if i is not owner and
                             i.data_centre == owner.data_centre)
                first = threading.Thread(target=cluster.stop, args=(owner,))
                first.start()
                time.sleep(pause)
                cluster.stop(other)
                first.join()
                self.restart(cluster, owner, other)
                cluster.callers.wait_complete(20)

    def test_stop_and_successor_killed(self):
        """Two faults at once: at most once; not run is true."""
        with self.loaded_cluster(33) as cluster:
            owner = cluster.dispatcher()
            stopping = threading.Thread(target=owner.process.stop)
            stopping.start()
            time.sleep(0.3)  # during the hand-over
            successor = cluster.dispatcher(but=owner)
            successor.process.kill()
            stopping.join()
            self.restart(cluster, owner, successor)
            cluster.callers.wait_complete(20)

    def test_stop_while_data_centres_are_cut_off(self):
        """Two faults at once: at most once; not run is true."""
        with self.loaded_cluster(34, linked=True) as cluster:
            cluster.set_links("freeze a* b* 0", "freeze b* a* 0")
            owner = cluster.dispatcher()
            owner.process.stop()
            owner.start()
            cluster.callers.wait_complete(20, ["a1", "a2", "a3"])
            cluster.set_links()
            self.restart(cluster)
            cluster.callers.wait_complete(20)

    def test_stop_with_a_worker_frozen(self):
        """A stop waits for running tasks, but no longer than its limit."""
        with self.loaded_cluster(35, racks=(
                ("a", 2), ("ab", 2), ("b", 1))) as cluster:
            rack = cluster.processes_of["ab"]
            rack.freeze()
            owner = cluster.dispatcher()
            owner.process.stop()
            rack.thaw()
            self.restart(cluster, owner)
            cluster.callers.wait_complete(20)


if __name__ == "__main__":
    unittest.main()
