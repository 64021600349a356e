"""Cut, silent or slow links; callers repeat requests at all instances.

Each test names the invariants that it puts at risk; the history checker then
verifies all invariants.
"""
import os
import unittest

from tests.system.cluster import wait_for
from tests.system.workload import LoadedCluster, now_us

BUILD = os.environ["BERGAMOT_BUILD"]
BETWEEN_DATA_CENTRES = ("a* b*", "b* a*")
WITHIN_DATA_CENTRE = ("a1 a2", "a2 a1")


def rules(mode, pairs, ms=0):
    return [f"{mode} {pair} {ms}" for pair in pairs]


def states(cluster, of, at):
    """The states of one instance's incarnations in another's member list."""
    status = at.status() or {"members": []}
    return [m["state"] for m in status["members"]
            if m["instance"] == of.name]


class Links(unittest.TestCase):
    def heal(self, cluster):
        """Restores all links; waits until each instance sees all as alive."""
        cluster.set_links()
        for i in cluster.instances:
            wait_for(f"{i.name} to see all", lambda i=i: cluster.sees_all(i))

    def separate(self, cluster, mode):
        """Separates the data centres; prints the counts of complete answers
        before, during and after the cut."""
        sides = (["a1", "a2"], ["b1", "b2"])
        begin = now_us()
        cluster.callers.wait_complete(40)
        cut = now_us()
        cluster.set_links(*rules(mode, BETWEEN_DATA_CENTRES))
        a, b = cluster.instances[0], cluster.instances[2]
        wait_for("both sides to see the cut", lambda: all(
            s in ("suspect", "gone")
            for s in states(cluster, a, b) + states(cluster, b, a)))
        during = now_us()
        for side in sides:
            cluster.callers.wait_complete(20, side)
        healed = now_us()
        self.heal(cluster)
        cluster.callers.wait_complete(40)
        for side in sides:
            counts = [cluster.callers.complete(t, side)
                      for t in (begin, cut, during, healed)]
            print(side[0][0], "before/detecting/during/after:",
                  *(x - y for x, y in zip(counts, counts[1:] + [0])),
                  end="; ")

    def test_data_centres_cut_off(self):
        """At most once; each cut-off data centre continues to serve."""
        with LoadedCluster(BUILD, self, 11, linked=True) as cluster:
            self.separate(cluster, "cut")

    def test_data_centres_silent(self):
        """At most once; not run is true: links stay open and silent, and later
        deliver what was sent."""
        with LoadedCluster(BUILD, self, 12, linked=True) as cluster:
            self.separate(cluster, "freeze")

    def test_data_centres_cut_off_and_owner_killed(self):
        """Two faults at once: at most once; not run is true."""
        with LoadedCluster(BUILD, self, 13, linked=True) as cluster:
            cluster.set_links(*rules("cut", BETWEEN_DATA_CENTRES))
            owner = cluster.dispatcher()
            owner.process.kill()
            cluster.callers.wait_complete(10, ["b1", "b2"])
            owner.start()
            cluster.callers.wait_complete(10, ["a1", "a2"])
            self.heal(cluster)
            cluster.callers.wait_complete(40)

    def test_two_that_both_dispatch(self):
        """At most once: a cut within a data centre results in two
        dispatchers."""
        with LoadedCluster(BUILD, self, 14, linked=True) as cluster:
            for mode in ("cut", "freeze"):
                cluster.set_links(*rules(mode, WITHIN_DATA_CENTRE))
                a1, a2 = cluster.instances[:2]
                wait_for("two dispatchers", lambda: all(
                    (i.status() or {}).get("dispatcher") for i in (a1, a2)))
                cluster.callers.wait_complete(20, ["a1"])
                cluster.callers.wait_complete(20, ["a2"])
                self.heal(cluster)
                cluster.callers.wait_complete(20)

    def test_one_way_of_dialling_cut(self):
        """Jobs complete, and none is answered unknown, while only one of two
        instances can connect to the other: one link is enough for a pair."""
        with LoadedCluster(BUILD, self, 15, linked=True, cancel=0) as cluster:
            cluster.set_links("cut a1 a2 0")
            begin = now_us()
            for name in ("a1", "a2"):
                cluster.callers.wait_complete(60, [name])
            for i in cluster.instances[:2]:
                wait_for(f"{i.name} to see all",
                         lambda i=i: cluster.sees_all(i))
            lost = [r for r in cluster.callers.requests
                    if r.begin_us > begin and r.reason == "no_answer_yet"]
            self.assertEqual(lost, [])
            cluster.set_links()

    def test_slow_links_and_owner_frozen(self):
        """Two faults at once: also late answers are whole and the caller's
        own."""
        with LoadedCluster(BUILD, self, 16, linked=True) as cluster:
            cluster.set_links("delay * [ab]? 400")
            cluster.callers.wait_complete(20)
            cluster.freeze(cluster.dispatcher())
            cluster.callers.wait_complete(20)
            self.heal(cluster)
            cluster.callers.wait_complete(20)

    def test_workers_cut_off(self):
        """Never partial: workers' answers are lost or arrive after the
        deadline."""
        racks = (("a", 2), ("ab", 2), ("b", 1))
        with LoadedCluster(BUILD, self, 17, linked=True,
                           racks=racks) as cluster:
            for mode, ms in (("cut", 0), ("freeze", 0), ("delay", 2000)):
                cluster.set_links(f"{mode} - worker-ab? {ms}")
                cluster.callers.wait_complete(20)
                cluster.set_links()
                cluster.callers.wait_complete(20)


if __name__ == "__main__":
    unittest.main()
