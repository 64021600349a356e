"""Installed files are complete: settings page, sample, man pages, commands."""
import json
import os
import pty
import re
import resource
import select
import subprocess
import tempfile
import unittest

from tests.system.cluster import Cluster, document, free_ports, job

BUILD = os.environ["BERGAMOT_BUILD"]
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(__file__)))
DAEMON = os.path.join(BUILD, "packages/daemon/bergamotd")
CTL = os.path.join(BUILD, "packages/ctl/bergamotctl")


def run(*arguments, **more):
    return subprocess.run(arguments, capture_output=True, text=True,
                          timeout=60, check=False, **more)


def read(path):
    with open(os.path.join(ROOT, path), encoding="utf-8") as text:
        return text.read()


def commands():
    return re.findall(r"^  ([a-z-]+) ", run(CTL, "--help").stdout, re.M)


class Product(unittest.TestCase):
    def test_settings_page_is_current(self):
        self.assertEqual(run(DAEMON, "--print-settings-table").stdout,
                         read("docs/SETTINGS.md"))

    def test_sample_settings(self):
        sample = os.path.join(ROOT, "share/settings.json")
        self.assertEqual(run(DAEMON, "--check-settings", sample).returncode, 0)
        checked = run(CTL, "check-settings", "--json", sample)
        self.assertTrue(json.loads(checked.stdout)["valid"])

    def test_every_command_has_help_and_a_place_in_the_manual(self):
        page = read("man/bergamotctl.1")
        self.assertIn("submit", commands())
        for command in commands():
            with self.subTest(command=command):
                helped = run(CTL, command, "--help")
                self.assertEqual(helped.returncode, 0, helped.stderr)
                self.assertIn("Usage: bergamotctl " + command, helped.stdout)
                self.assertIn(command.replace("-", "\\-"), page)
                self.assertEqual(run(CTL, command, "--no-such").returncode, 2)

    def test_wrong_arguments(self):
        for arguments, says in (
                (("submit", "/no/such/file"), "/no/such/file: cannot be read"),
                (("plan", "--intent-file", "/no/such"), "/no/such: cannot be"),
                (("plan", "--intent-file", "/dev/null"), "not JSON"),
                (("get", "--key=k", "x"), "--key"),
                (("cancel", "--watch", "x"), "--watch"),
                (("confirm", "--intent-file=x"), "--intent-file"),
                (("confirm", "/dev/null", "y"), "y"),
                (("plan", "--intent-file=x", "drain"), "not both"),
                (("load", "--instance=h:1,a"),
                 "expected HOST:PORT,DC,WEIGHT"),
                (("load", "--instance=h:1,a,1,2"),
                 "h:1,a,1,2: expected HOST:PORT"),
                (("load", "--instance=h:1,a,1", "--team=x"),
                 "x: expected NAME,WEIGHT")):
            with self.subTest(arguments=arguments):
                done = run(CTL, *arguments)
                self.assertEqual((done.returncode, says in done.stderr),
                                 (2, True), done)

    def test_unreadable_token(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "settings.json")
            for section in "operators", "platform":
                with open(path, "w", encoding="utf-8") as out:
                    json.dump({section: {"token_file": "/dev/null"}}, out)
                done = run(DAEMON, path)
                self.assertEqual(done.returncode, 4, done)
                self.assertIn(section + ".token_file", done.stderr)
        done = run(CTL, "status", "--token-file=/dev/null")
        self.assertIn("/dev/null", done.stderr)

    def test_descriptor_limit_is_raised(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (600, hard))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE,
                        (soft, hard))
        with Cluster(BUILD, document([])) as cluster:
            instance = cluster.instance("a1", "a")
            cluster.start()
            pid = instance.process.popen.pid
            self.assertEqual(resource.prlimit(pid, resource.RLIMIT_NOFILE),
                             (hard, hard))

    def test_install(self):
        with tempfile.TemporaryDirectory() as prefix:
            done = run("cmake", "--install", BUILD, "--prefix", prefix)
            self.assertEqual(done.returncode, 0, done.stderr)
            files = {os.path.relpath(os.path.join(folder, name), prefix)
                     for folder, _, names in os.walk(prefix) for name in names}
            self.assertLessEqual(
                {"bin/bergamotctl", "sbin/bergamotd",
                 "share/man/man1/bergamotctl.1", "share/man/man8/bergamotd.8",
                 "share/doc/bergamotpass/settings.json",
                 "share/bash-completion/completions/bergamotctl"}, files)
            installed = os.path.join(prefix, "sbin/bergamotd")
            self.assertEqual(run(installed, "--version").returncode, 0)

    def test_completion(self):
        script = ("source share/bergamotctl.bash; bergamotctl() { \"$CTL\" "
                  "\"$@\"; }; COMP_WORDS=(bergamotctl su); COMP_CWORD=1; "
                  "_bergamotctl; echo \"${COMPREPLY[@]}\"; "
                  "COMP_WORDS=(bergamotctl get --js); COMP_CWORD=2; "
                  "_bergamotctl; echo \"${COMPREPLY[@]}\"")
        done = run("bash", "-c", script, cwd=ROOT,
                   env={**os.environ, "CTL": CTL})
        self.assertEqual(done.stdout.split(), ["submit", "--json"])

    def assert_progress(self, one, callers):
        """Watches a job whose last task runs until the job is cancelled."""
        job_id = one.ids()[0]
        body = job(3, deadline_ms=60000)
        body["tasks"].append({"body": {"run_ms": 60000}})
        terminal, end = pty.openpty()
        shown = ""
        with subprocess.Popen(
                (CTL, "submit", "--watch", callers, "--id=" + job_id),
                stdin=subprocess.PIPE, stdout=subprocess.DEVNULL, stderr=end,
                text=True) as watching:
            watching.stdin.write(json.dumps(body))
            watching.stdin.close()
            while "3 of 4 tasks done" not in shown:
                readable, _, _ = select.select([terminal], [], [], 30)
                self.assertTrue(readable, shown[-200:])
                shown += os.read(terminal, 4096).decode()
            self.assertEqual(one.request("DELETE", "/v1/jobs/" + job_id)[0],
                             409)
        self.assertEqual(watching.returncode, 1)
        done = subprocess.run(
            (CTL, "submit", "--watch", callers), input=json.dumps(job(1)),
            stdout=subprocess.PIPE, stderr=end, text=True, timeout=60,
            check=True)
        self.assertIn(": complete", done.stdout)
        os.close(end)
        os.close(terminal)

    def test_commands_and_exit_codes(self):
        with Cluster(BUILD) as cluster:
            _, workers = cluster.workers("a", 1)
            cluster.document = document(workers)
            one = cluster.instance("a1", "a")
            cluster.start()
            callers = f"--address=127.0.0.1:{one.callers}"
            operators = (f"--address=127.0.0.1:{one.operators}",
                         "--token-file=" + cluster.token_file)

            def ctl(code, *arguments, body=None):
                done = run(CTL, *arguments, input=body)
                self.assertEqual(done.returncode, code, done)
                return done.stdout
            answer = json.loads(ctl(0, "submit", callers, "--json", "--watch",
                                    body=json.dumps(job(3))))
            self.assertEqual(len(answer["results"]), 3)
            again = ctl(0, "get", callers, "--json", answer["job"])
            self.assertEqual(json.loads(again), answer)
            ctl(0, "cancel", callers, answer["job"])  # it is complete
            ctl(1, "get", callers, "no-such-id")
            unknown_service = json.dumps({**job(1), "service": "none"})
            ctl(3, "submit", callers, body=unknown_service)
            ctl(1, "submit", callers, body="{")
            metrics = json.loads(ctl(0, "metrics", *operators, "--json"))
            self.assertEqual(metrics["bergamot_tasks_done"], 3)
            self.assertIn("bergamot_tasks_done 3\n",
                          ctl(0, "metrics", *operators))
            status = json.loads(ctl(0, "status", *operators, "--json"))
            self.assertEqual(status["instance"], "a1")
            self.assertIn("a1", ctl(0, "status", *operators))
            ctl(1, "status", operators[0])  # without the token
            self.assert_progress(one, callers)
            ctl(5, "get", f"--address=127.0.0.1:{free_ports(1)[0]}", "x")


if __name__ == "__main__":
    unittest.main()
