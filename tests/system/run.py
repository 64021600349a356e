"""Runs the system tests: python3 -B -m tests.system.run BUILD [NAME...].

Each test_*.py in this folder is one module and runs in its own process, four
at once, since the tests mostly wait. With names, runs only these modules.
"""
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

FOLDER = os.path.dirname(__file__)
PARALLEL_MODULES = 4


def run(name):
    """Runs a module; its output, and its counts of tests run and failed."""
    done = subprocess.run(
        [sys.executable, "-B", "-m", "unittest", "-v", "tests.system." + name],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        check=False)
    ran = re.search(r"^Ran (\d+) test", done.stdout, re.M)
    ran = int(ran.group(1)) if ran else 0
    failed = sum(map(int, re.findall(r"(?:failures|errors)=(\d+)",
                                     done.stdout)))
    if done.returncode and not failed:
        failed = 1
    return done.stdout, ran, failed


def main():
    os.environ["BERGAMOT_BUILD"] = os.path.abspath(sys.argv[1])
    names = sys.argv[2:] or sorted(
        name[:-3] for name in os.listdir(FOLDER)
        if name.startswith("test_") and name.endswith(".py"))
    all_ran = all_failed = 0
    with ThreadPoolExecutor(PARALLEL_MODULES) as pool:
        for output, ran, failed in pool.map(run, names):
            print(output, flush=True)
            all_ran += ran
            all_failed += failed
    print(f"{all_ran - all_failed} passed, {all_failed} failed")
    sys.exit(1 if all_failed or not all_ran else 0)


if __name__ == "__main__":
    main()
