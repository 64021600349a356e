"""tools/losses: jobs without a complete answer, by cause, from log lines."""
import json
import os
import subprocess
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(__file__)))
MESSAGES = (
    "job 0000000000000001: admitted from entry 1, queue q",
    "job 0000000000000001: given_up (none) after 900 ms, objective 60 ms",
    "job 0000000000000001: completed (none) after 1300 ms, objective 60 ms",
    "job 0000000000000002: refused (overloaded), 9 tasks waiting",
    "job 0000000000000003: admitted from entry 1, queue q",
    "job 0000000000000003: refused (overloaded) after 80 ms, objective 60 ms",
    "job 0000000000000004: admitted from entry 1, queue q",
    "job 0000000000000005: given_up (no_leader) after 90 ms, at leader 0",
    "leader is now 1, was 0")


def losses(*paths, text=None):
    return subprocess.run([os.path.join(ROOT, "tools", "losses"), *paths],
                          input=text, capture_output=True, text=True,
                          check=False, timeout=30)


class Losses(unittest.TestCase):
    def test_causes(self):
        lines = "".join(f"  3.1 e1 {json.dumps({'wall_us': 1, 'message': m})}"
                        "\n" for m in MESSAGES)
        result = losses("-", text=lines + '  3.2 e1 {"wall_us": 2, "mess\n')
        rows = [line.split("  ") for line in result.stdout.splitlines()]
        causes = {row[-1].split()[-1]: line for row, line
                  in zip(rows, result.stdout.splitlines())}
        self.assertEqual(result.returncode, 0)
        self.assertEqual(len(causes), 5)
        self.assertIn("completed", causes["0000000000000001"])
        self.assertIn("20.00%  refused: forecast", causes["0000000000000002"])
        self.assertIn("refused after waiting", causes["0000000000000003"])
        self.assertIn("no outcome", causes["0000000000000004"])
        self.assertIn("its leader was lost", causes["0000000000000005"])

    def test_bad_input(self):
        with tempfile.NamedTemporaryFile() as empty:
            for arguments in (("/missing",), (empty.name,), ()):
                result = losses(*arguments)
                self.assertEqual(result.returncode, 2)
                self.assertEqual(result.stdout, "")
                self.assertNotIn("Traceback", result.stderr)


if __name__ == "__main__":
    unittest.main()
