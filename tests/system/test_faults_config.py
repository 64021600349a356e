"""Configuration changes under faults: a version reaches all instances and
never reverts, and a leaving worker gets no new work, even from an instance
that was frozen or cut off during the change.

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


class Config(unittest.TestCase):
    def everywhere(self, cluster, version, instances=None):
        wait_for(f"version {version} everywhere", lambda: all(
            (i.status() or {}).get("config_version") == version
            for i in instances or cluster.instances))

    def late_polls(self, cluster):
        """Polls for 12 s; an accepted version must be in force after 11 s."""
        end = time.monotonic() + 12
        while time.monotonic() < end:
            cluster.poll()
            time.sleep(0.5)

    def test_drain_while_the_owner_is_frozen(self):
        """A leaving worker gets nothing new after 3 s: the dispatcher, with a
        backlog, is frozen while the worker is marked as leaving, and after
        the thaw learns of the mark over a slow link only."""
        with LoadedCluster(BUILD, self, 21,
                           racks=(("a", 2), ("ab", 1), ("b", 1)),
                           tasks=60, run_ms=150, cancel=0, deadline_ms=20000,
                           callers=8, linked=True) as cluster:
            owner = cluster.dispatcher()
            wait_for("a backlog", lambda: any(
                m["backlog_tasks"] > 60
                for m in owner.status()["members"]))
            cluster.set_links("delay * [ab]? 250")
            owner.process.freeze()
            other = next(i for i in cluster.instances if i is not owner)
            cluster.reconfigure(other, lambda doc: doc["workers"][2].update(
                drained=True), mark="ab1")
            time.sleep(5)
            owner.process.thaw()
            self.everywhere(cluster, 2)
            cluster.callers.wait_complete(5)

    def test_cut_off_and_older_documents(self):
        """A version is in force within 11 s after the links are restored, and
        never reverts: a data centre is cut off during the change, and an
        instance restarts with the old document while the links are down."""
        with LoadedCluster(BUILD, self, 22, linked=True) as cluster:
            cluster.set_links("cut a* b* 0", "cut b* a* 0")
            cluster.reconfigure(
                cluster.instances[0],
                lambda doc: doc["workers"][1].update(drained=True), mark="a2")
            self.everywhere(cluster, 2, cluster.instances[:2])
            cluster.poll()
            stale = cluster.instances[3]
            stale.process.kill()
            stale.start()  # its settings still hold version 1
            cluster.poll()
            cluster.set_links()
            cluster.accept(2)
            self.everywhere(cluster, 2)
            cluster.instances[1].process.kill()
            cluster.instances[1].start()
            self.late_polls(cluster)


if __name__ == "__main__":
    unittest.main()
