"""A target that is leaving receives no new work after 3 s.

A worker leaves by a mark in the platform's list, by its own announcement or by
an operator's drain, each alone and under load. During the platform outage that
follows, the dispatcher is killed and one instance is frozen. Checked against
the workers' record of starts.
"""
import http.client
import os
import threading
import time
import unittest

from tests.system.cluster import Cluster, document, job, wait_for

BUILD = os.environ["BERGAMOT_BUILD"]
LEAVE_S = 3


class Leaving(unittest.TestCase):
    def setUp(self):
        self.cluster = self.enterContext(Cluster(BUILD))
        _, self.workers = self.cluster.workers("a", 2)
        self.cluster.document = document(self.workers)
        self.cluster.start_platform()
        self.cluster.list_workers(self.workers)
        for name in ("a1", "a2", "a3"):
            self.cluster.instance(name, "a")
        self.cluster.start()
        self.entries = list(self.cluster.instances)
        self.done = threading.Event()

    def load(self):
        def submit():
            while not self.done.is_set():
                try:
                    self.entries[0].submit(job(4, 10), timeout=5)
                except OSError:
                    pass
        threads = [threading.Thread(target=submit) for _ in range(4)]
        for thread in threads:
            thread.start()
            self.addCleanup(thread.join)
        self.addCleanup(self.done.set)

    def starts(self, worker, since=0.0):
        """Wall clock times of the starts that the worker recorded."""
        return [e["wall_us"] / 1e6 for e in self.cluster.starts()
                if e["worker"] == worker and e["wall_us"] / 1e6 >= since]

    def announce_leaving(self, leaving):
        host = self.workers[0]["address"]
        conn = http.client.HTTPConnection(host, timeout=30)
        conn.request("PUT", "/standin/leaving", leaving)
        conn.getresponse().read()
        conn.close()

    def drain(self):
        _, plan, _ = self.entries[0].operator(
            "POST", "/v1/plans", {"intent": "drain", "worker": "a1"})
        code, answer, _ = self.entries[0].operator(
            "POST", "/v1/plans/confirm", plan)
        self.assertEqual(code, 200, answer)

    def known_leaving(self):
        return any(w["leaving"] for i in self.entries
                   for w in (i.status() or {"workers": []})["workers"]
                   if w["worker"] == "a1")

    def lose_dispatcher(self):
        """Freezes the last instance and kills the dispatcher, or the second
        instance when the frozen one is the dispatcher. Returns the frozen
        one."""
        frozen = self.entries[-1]
        frozen.process.freeze()
        holder = next(i for i in self.entries[:2]
                      if i.status()["dispatcher"] or i is self.entries[1])
        self.entries = [i for i in self.entries[:2] if i is not holder]
        holder.process.kill()
        return frozen

    def check(self, leave):
        self.load()
        wait_for("starts", lambda: len(self.starts("a1")) > 10)
        leave()
        marked = time.time()
        wait_for("the mark to reach an instance", self.known_leaving)
        wait_for("the limit to pass", lambda: time.time() > marked + LEAVE_S)
        wait_for("starts elsewhere", lambda: len(
            self.starts("a2", marked + LEAVE_S)) > 10)
        self.cluster.faults(out=True)
        frozen = self.lose_dispatcher()
        wait_for("the role to move",
                 lambda: self.entries[0].status()["dispatcher"])
        moved = time.time()
        wait_for("starts after the move",
                 lambda: len(self.starts("a2", moved)) > 10)
        frozen.process.thaw()
        wait_for("starts after the thaw",
                 lambda: len(self.starts("a2", moved)) > 100)
        self.assertEqual(self.starts("a1", marked + LEAVE_S), [])

    def test_own_announcement(self):
        self.check(lambda: self.announce_leaving("true"))

    def test_list(self):
        self.check(lambda: self.cluster.list_workers(self.workers, ["a1"]))

    def test_operators_drain(self):
        self.check(self.drain)

    def test_own_announcement_while_idle_and_back(self):
        self.announce_leaving("true")
        wait_for("the announcement to be seen", self.known_leaving)
        marked = time.time()
        for _ in range(5):
            self.entries[0].submit(job(4, 10))
        self.assertEqual(self.starts("a1"), [])
        self.announce_leaving("false")
        wait_for("the worker to be back", lambda: not self.known_leaving())
        wait_for("starts", lambda: self.entries[0].submit(job(16, 10)) and
                 self.starts("a1", marked))


if __name__ == "__main__":
    unittest.main()
