"""A job completes although the dispatcher role moves while it runs.

The second instance joins while a job runs at the first. Whichever holds the
role afterwards, the job's remaining tasks start and the job completes.
"""
import os
import threading
import unittest

from tests.system.cluster import Cluster, document, job, wait_for

BUILD = os.environ["BERGAMOT_BUILD"]


class RoleMove(unittest.TestCase):
    def test_job_outlives_the_move(self):
        for _ in range(4):  # the role moves in about half of the rounds
            with Cluster(BUILD) as cluster:
                _, a = cluster.workers("a", 1, slots=2)
                cluster.document = document(a)
                first = cluster.instance("a1", "a")
                cluster.start()
                answers = []
                caller = threading.Thread(
                    target=lambda: answers.append(first.submit(job(30, 50))))
                caller.start()
                second = cluster.instance("a2", "a").start()
                wait_for("both instances to see each other", lambda: all(
                    cluster.sees_all(i) for i in cluster.instances))
                caller.join()
                self.assertEqual(answers[0][1]["outcome"], "complete")
                self.assertEqual(second.submit(job(2))[1]["outcome"],
                                 "complete")


if __name__ == "__main__":
    unittest.main()
