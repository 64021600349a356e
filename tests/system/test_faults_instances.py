"""Failing instances and workers; callers repeat requests at all instances.

Each test names the invariants that it puts at risk; the history checker then
verifies all invariants.
"""
import os
import threading
import unittest

from tests.system.workload import LoadedCluster, now_us

BUILD = os.environ["BERGAMOT_BUILD"]


class Instances(unittest.TestCase):
    def test_every_instance_at_once(self):
        """At most once; one answer: each job is submitted at all instances at
        once."""
        with LoadedCluster(BUILD, self, 1, repeat=1.0, cancel=0) as cluster:
            cluster.callers.wait_complete(300)

    def test_owner_killed_and_restarted(self):
        """At most once; not run is true: the dispatcher is killed during jobs
        and restarts on the same addresses as another incarnation."""
        with LoadedCluster(BUILD, self, 2) as cluster:
            for _ in range(3):
                owner = cluster.dispatcher()
                owner.process.kill()
                cluster.callers.wait_complete(10)
                owner.start()
                cluster.callers.wait_complete(20, [owner.name])

    def test_owner_frozen(self):
        """At most once; whole: the dispatcher is frozen for 5 s, longer than
        every timeout. Another instance takes the role, and the first one
        continues without having noticed."""
        with LoadedCluster(BUILD, self, 3) as cluster:
            for _ in range(2):
                owner = cluster.dispatcher()
                cluster.freeze(owner)
                cluster.callers.wait_complete(30, [owner.name])

    def test_owner_frozen_and_successor_killed(self):
        """Two faults at once: at most once; not run is true."""
        with LoadedCluster(BUILD, self, 4, instances=(
                "a1", "a2", "a3", "b1")) as cluster:
            owner = cluster.dispatcher()
            frozen = threading.Thread(target=cluster.freeze, args=(owner,))
            frozen.start()
            others = [i for i in cluster.instances
                      if i.data_centre == "a" and i is not owner]
            cluster.callers.wait_complete(5, [others[0].name, others[1].name])
            others[0].process.kill()
            frozen.join()
            others[0].start()
            cluster.callers.wait_complete(20, [owner.name])
            cluster.callers.wait_complete(20, [others[0].name])

    def test_callers_hang_up_and_repeat(self):
        """Whole answer to its own request: callers close the connection while
        their job runs, and repeat the request at another instance."""
        with LoadedCluster(BUILD, self, 5, hang_up=0.7) as cluster:
            cluster.callers.wait_complete(300)

    def test_cancel_races_the_last_task(self):
        """Complete or failed, never partial; all repeats agree."""
        with LoadedCluster(BUILD, self, 6, cancel=1.0, repeat=0.3,
                           run_ms=40) as cluster:
            cluster.callers.wait_complete(100)


class Workers(unittest.TestCase):
    def test_worker_killed(self):
        """Never partial: a rack is killed while tasks run, and restarted."""
        racks = (("a", 2), ("ab", 2), ("b", 1))
        with LoadedCluster(BUILD, self, 7, racks=racks) as cluster:
            for _ in range(3):
                cluster.processes_of["ab"].kill()
                cluster.callers.wait_complete(20)
                cluster.restart_rack("ab")
                cluster.callers.wait_complete(20)

    def test_worker_and_owner_killed(self):
        """Two faults at once: never partial; at most once."""
        racks = (("a", 2), ("ab", 2), ("b", 1))
        with LoadedCluster(BUILD, self, 8, racks=racks) as cluster:
            owner = cluster.dispatcher()
            cluster.processes_of["ab"].kill()
            owner.process.kill()
            begin = now_us()
            cluster.callers.wait_complete(20)
            self.assertGreater(
                cluster.callers.complete(begin, ["b1", "b2"]), 0)
            owner.start()
            cluster.restart_rack("ab")
            cluster.callers.wait_complete(20, [owner.name])


if __name__ == "__main__":
    unittest.main()
