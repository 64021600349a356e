"""TWICE: two sides of a cut, each with a leader and workers of its own.

After a cut that outlasts a worker's place on the other side's list, one leader
hands its jobs to the other. That one holds all workers of its list, which lacks
those that run the jobs' tasks, and must not start these elsewhere.
"""
import os
import signal
import subprocess
import tempfile
import threading
import time
import unittest

from tests.system import leased_standins
from tests.system.cluster import free_ports, wait_for
from tests.system.test_leased import BUILD, Instance, check_runs, job

WORKERS = 2  # on each side
JOBS = 4
TASKS = 2
RUN_MS = 4000
PATIENT = {"X-Bergamotpass-Deadline-Ms": "30000"}
CUT_S = 31.0  # a list that has been followed for 30 s counts as complete
REGISTERED_S = 0.8  # from the hand-over to the workers' next registrations


class LongCut(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()
        ports = free_ports(2 + 2 * WORKERS + 9)
        self.stores = [leased_standins.Store(ports.pop()) for _ in range(2)]
        self.workers = [
            leased_standins.Worker(ports.pop(), f"w{side}{i}",
                                   self.stores[side])
            for side in range(2) for i in range(WORKERS)]
        for store in self.stores:
            store.put("op/config", leased_standins.config(1))
        by_link = ports.pop()
        self.start_link(by_link, ports[6])
        # The later one has the higher claim, and goes on leading.
        self.first = Instance("e0", self.folder, self.stores[0],
                              [f"127.0.0.1:{by_link}"], ports[0:4])
        self.addCleanup(self.close)
        wait_for("the first leader", self.first.is_ready)
        self.second = Instance("e1", self.folder, self.stores[1], [],
                               ports[4:8])
        wait_for("the second leader", self.second.is_ready)

    def start_link(self, listen, target):
        self.rules = os.path.join(self.folder, "rules")
        self.set_rules("cut * peer 0\n")
        self.link = subprocess.Popen(
            [os.path.join(BUILD, "tests/standins/standin-link"), "--rules",
             self.rules, "--route",
             f"127.0.0.1:{listen}=127.0.0.1:{target}=peer"],
            stdout=subprocess.PIPE)
        self.link.stdout.readline()  # "ready"

    def set_rules(self, text):
        with open(self.rules, "w", encoding="ascii") as file:
            file.write(text)

    def close(self):
        for instance in [self.first, self.second]:
            instance.end()
            instance.log.close()
        self.link.kill()
        self.link.wait()
        self.link.stdout.close()
        for server in [*self.stores, *self.workers]:
            server.close()

    def has_given_up(self):
        with open(self.first.path + ".log", encoding="utf-8") as log:
            return "gives up claim" in log.read()

    def heal(self):
        self.set_rules("")
        self.link.send_signal(signal.SIGHUP)
        self.link.stdout.readline()
        wait_for("one leader to give up", self.has_given_up)
        end = time.monotonic() + REGISTERED_S
        while time.monotonic() < end:  # the list stays current
            for worker in self.workers[WORKERS:]:
                worker.register(self.stores[1], "ready")
            time.sleep(0.05)
        for worker in self.workers:
            for store in self.stores:
                worker.register(store, "ready")

    def test_two_runs_on_workers_that_the_next_leader_does_not_list(self):
        """One side hands its jobs on while their tasks run."""
        time.sleep(CUT_S)
        answers = []
        callers = [threading.Thread(target=lambda i=i: answers.append(
            self.first.call("POST", f"/q/{i + 1:016x}", job(RUN_MS, TASKS),
                            headers=PATIENT)))
            for i in range(JOBS)]
        for caller in callers:
            caller.start()
        wait_for("all tasks to run", lambda: sum(
            len(worker.running) for worker in self.workers) == JOBS * TASKS)
        self.heal()
        for caller in callers:
            caller.join()
        time.sleep(RUN_MS / 1000)  # a second run would have ended
        self.assertEqual([status for status, _ in answers], [200] * JOBS)
        self.assertEqual(len(check_runs(self, self.workers)), JOBS * TASKS)


if __name__ == "__main__":
    unittest.main()
