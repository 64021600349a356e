"""The tool that compares deployments with what they reached, without a bench."""
import json
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TOOL = os.path.join(ROOT, "tools", "regressions")
NAME = "large/letrapac-large.toml"


def run(*arguments):
    return subprocess.run([sys.executable, "-B", TOOL, *arguments],
                          capture_output=True, text=True, check=False)


class Regressions(unittest.TestCase):
    def setUp(self):
        with open(os.path.join(ROOT, "deploy", "deployments.json"),
                  encoding="utf-8") as file:
            self.worth = json.load(file)["deployments"][NAME]["worth"]

    def compare(self, change, gate):
        """Runs the tool on a bench's output with all figures changed."""
        with tempfile.NamedTemporaryFile("w", suffix=".txt") as file:
            for day, worth in self.worth.items():
                file.write(f"{day}  147/1100  0.90  {worth + change:.3f} \n")
            file.write(f"GATE {gate}\n")
            file.flush()
            return run("none", "none", NAME, "--entry", file.name)

    def test_verdicts(self):
        held = self.compare(-0.029, "passed")
        self.assertEqual((held.returncode, held.stdout.count("holds")),
                         (0, len(self.worth)), held)
        fell = self.compare(-0.04, "passed")
        self.assertEqual((fell.returncode, fell.stdout.count("FELL")),
                         (1, len(self.worth)), fell)
        self.assertEqual(self.compare(0, "failed").returncode, 1)

    def test_bad_input(self):
        """Each bad input ends with one clear line and exit code 2."""
        with tempfile.NamedTemporaryFile("w") as empty:
            for arguments, text in [
                    (["/nowhere", "/nowhere", NAME], "no bench there"),
                    ([sys.executable, "/nowhere", NAME], "no such site file"),
                    (["none", "none", "unknown"], "no deployment is named"),
                    (["none", "none", NAME, "--entry", "/nowhere"],
                     "No such file"),
                    (["none", "none", NAME, "--entry", empty.name],
                     "names no day")]:
                with self.subTest(arguments=arguments):
                    done = run(*arguments)
                    self.assertEqual(done.returncode, 2, done)
                    self.assertEqual(done.stderr.count("\n"), 1, done)
                    self.assertIn(text, done.stderr)


if __name__ == "__main__":
    unittest.main()
