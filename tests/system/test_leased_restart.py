"""TWICE: a worker restarts under its id, and gets a start before anybody knows.

Only lists of runs and registrations tell the start time of a worker's process,
so that the answer to such a start does not show that another process gave it.
The start time of the new one, once it is read, must not end the run there.
"""
import os
import tempfile
import threading
import time
import unittest

from tests.system import leased_standins
from tests.system.cluster import free_ports, wait_for
from tests.system.test_leased import Instance, check_runs, job

WORKERS = 4
ROUNDS = 6
TASKS = 12  # of the 16 that the workers run at once
RUN_MS = 700
# From the restart of the workers to their next registration.
REGISTERED_S = (0.02, 0.05, 0.1, 0.3, 0.6, 1.2)


class Restarts(unittest.TestCase):
    def setUp(self):
        folder = tempfile.mkdtemp()
        ports = free_ports(1 + WORKERS + 4)
        self.store = leased_standins.Store(ports.pop())
        self.store.put("op/config", leased_standins.config(1))
        self.workers = [leased_standins.Worker(ports.pop(), f"w{i}",
                                               self.store)
                        for i in range(WORKERS)]
        self.instance = Instance("e0", folder, self.store, [], ports)
        self.addCleanup(self.close)
        wait_for("the instance to be ready", self.instance.is_ready)

    def close(self):
        self.instance.end()
        self.instance.log.close()
        for server in [self.store, *self.workers]:
            server.close()

    def serve(self, job_id):
        status, body = self.instance.call("POST", "/q/" + job_id,
                                          job(RUN_MS, TASKS))
        self.assertEqual(status, 200, body)

    def restart_before_starts(self):
        self.serve(f"{1:016x}")
        for i in range(ROUNDS):
            for worker in self.workers:
                worker.crash()
                threading.Timer(REGISTERED_S[i], worker.register,
                                (self.store, "ready")).start()
            time.sleep(0.02)  # the job comes before the registration
            self.serve(f"{i + 2:016x}")
        self.assertEqual(len(check_runs(self, self.workers)),
                         (ROUNDS + 1) * TASKS)

    def test_two_runs_after_a_start_at_a_process_not_known_yet(self):
        """The users' own case: the first run of a worker's new process."""
        self.restart_before_starts()

    def test_two_runs_after_such_a_start_with_full_answers(self):
        """Workers whose answers to starts and stops tell the start time."""
        for worker in self.workers:
            worker.full_answers = True
        self.restart_before_starts()


if __name__ == "__main__":
    unittest.main()
