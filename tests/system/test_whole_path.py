"""A job submitted at any instance runs and is answered completely."""
import os
import unittest

from tests.system.cluster import Cluster, document, job, wait_for

BUILD = os.environ["BERGAMOT_BUILD"]


class WholePath(unittest.TestCase):
    def test_two_data_centres(self):
        with Cluster(BUILD) as cluster:
            _, a = cluster.workers("a", 1)
            _, b = cluster.workers("b", 1)
            cluster.document = document(a + b)
            for name, data_centre in (("a1", "a"), ("a2", "a"), ("b1", "b")):
                cluster.instance(name, data_centre)
            cluster.start()
            for instance in cluster.instances:
                code, answer, _ = instance.submit(job(20))
                self.assertEqual(code, 200)
                self.assertEqual(answer["outcome"], "complete")
                self.assertEqual([r["answer"] for r in answer["results"]],
                                 list(range(20)))

    def test_repeat_joins_the_record(self):
        with Cluster(BUILD) as cluster:
            _, a = cluster.workers("a", 1)
            cluster.document = document(a)
            first = cluster.instance("a1", "a")
            second = cluster.instance("a2", "a")
            cluster.start()
            job_id = first.ids()[0]
            one = first.submit(job(3), job_id)
            two = second.submit(job(3), job_id)
            self.assertEqual(one[1], two[1])
            other = second.submit(job(4), job_id)
            self.assertEqual(other[0], 422)
            self.assertEqual(other[1]["reason"], "body_mismatch")
            starts = wait_for("three starts", cluster.starts)
            self.assertEqual(len(starts), 3)


if __name__ == "__main__":
    unittest.main()
