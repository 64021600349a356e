"""bergamotctl plans, shows and confirms a change, or reports its refusal."""
import json
import os
import subprocess
import unittest

from tests.system.cluster import Cluster, document, wait_for

BUILD = os.environ["BERGAMOT_BUILD"]


class PlanCommand(unittest.TestCase):
    def setUp(self):
        self.cluster = self.enterContext(Cluster(BUILD))
        _, workers = self.cluster.workers("a", 1)
        self.cluster.document = document(workers)

    def start(self):
        self.instance = self.cluster.instance("a1", "a")
        self.cluster.start()

    def ctl(self, *arguments, text=""):
        """(exit code, output) of one command."""
        done = subprocess.run(
            [self.cluster.program("packages/ctl/bergamotctl"), arguments[0],
             "--address", f"127.0.0.1:{self.instance.operators}",
             "--token-file", self.cluster.token_file, *arguments[1:]],
            input=text, capture_output=True, text=True, check=False)
        return done.returncode, done.stdout + done.stderr

    def test_plan_show_confirm(self):
        self.cluster.start_platform()
        self.start()
        code, plan = self.ctl("plan", "--json", "drain", "worker=a1")
        self.assertEqual(code, 0, plan)
        code, shown = self.ctl("plan", "show", text=plan)
        self.assertEqual(code, 0)
        self.assertIn("workers/a1/drained", shown)
        self.assertIn("slots of quote: 8 -> 0", shown)
        self.assertIn("warning: leaves 0 slots for service quote", shown)
        _, stale = self.ctl("plan", "--json", "set-limit", "team=default",
                            "tasks_per_s=5")
        code, answer = self.ctl("confirm", text=plan)
        self.assertEqual((code, "confirmed: version 2" in answer), (0, True))
        wait_for("the worker to be drained", lambda: self.instance.status()
                 ["workers"][0]["leaving"])
        code, answer = self.ctl("confirm", text=stale)
        self.assertEqual(code, 1)
        self.assertIn("teams/default/tasks_per_s", answer)
        self.assertIn("workers/a1/drained", answer)
        altered = json.loads(stale)
        altered["base_version"] = 2
        altered["difference"][0]["after"] = 6
        code, answer = self.ctl("confirm", text=json.dumps(altered))
        self.assertEqual((code, "altered" in answer), (1, True))

    def test_wrong_intents(self):
        self.cluster.start_platform()
        self.start()
        for words, code, says in (
                (["drain", "worker=zz"], 1, "no worker zz"),
                (["drain"], 1, "name one of"),
                (["explode"], 1, "unknown intent explode"),
                (["add-workers", "name=a1", "address=127.0.0.1:1",
                  "data_centre=a", "service=quote", "slots=1"], 1,
                 "no other entry"),
                (["undrain", "data_centre=a"], 1, "so already"),
                (["drain", "worker"], 2, "KEY=VALUE")):
            got, text = self.ctl("plan", *words)
            self.assertEqual((got, says in text), (code, True), text)

    def test_without_a_platform(self):
        self.start()
        _, plan = self.ctl("plan", "--json", "drain", "worker=a1")
        code, answer = self.ctl("confirm", text=plan)
        self.assertEqual((code, "SIGHUP" in answer), (1, True), answer)


if __name__ == "__main__":
    unittest.main()
