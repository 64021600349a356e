"""Callers get the answer to their own request in a cluster without full mesh.

Only delegates keep links between data centres: heartbeats of other members are
relayed, and a request for another data centre's job opens a link on demand.
"""
import os
import unittest

from tests.system.cluster import Cluster, document, job, wait_for

BUILD = os.environ["BERGAMOT_BUILD"]
DC_INSTANCES = 6  # in each data centre


class ManyInstances(unittest.TestCase):
    def test_far_owner_is_reached(self):
        with Cluster(BUILD) as cluster:
            workers = []
            for data_centre in "abc":
                workers += cluster.workers(data_centre, 1)[1]
            cluster.document = document(workers)
            for data_centre in "abc":
                for i in range(DC_INSTANCES):
                    cluster.instance(f"{data_centre}{i + 1}", data_centre)
            cluster.start()
            by_dc = [cluster.instances[i * DC_INSTANCES:][:DC_INSTANCES]
                     for i in range(3)]
            for instance in cluster.instances:
                wait_for(f"{instance.name} to close far links",
                         lambda i=instance: not all(
                             m["linked"] for m in i.status()["members"]))
            # A job of each data centre is answered at every instance.
            for home in by_dc:
                for away in cluster.instances:
                    job_id = home[0].ids()[0]
                    code, answer, _ = away.submit(job(2), job_id)
                    self.assertEqual((code, answer["job"]), (200, job_id),
                                     answer)
                    self.assertEqual(home[1].submit(job(2), job_id)[1],
                                     answer)
            killed = by_dc[2].pop()
            killed.process.kill()
            cluster.instances.remove(killed)
            wait_for("all to see the instance as not alive", lambda: not any(
                m["instance"] == killed.name and m["state"] == "alive"
                for i in cluster.instances for m in i.status()["members"]))
            killed.start()
            cluster.instances.append(killed)
            for instance in cluster.instances:
                wait_for(f"{instance.name} to see all members",
                         lambda i=instance: cluster.sees_all(i))


if __name__ == "__main__":
    unittest.main()
