#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: Python scripts of the standard library.
# Nothing is compiled; checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common-2/*.py */case.py <<'EOF'
import sys
for name in sys.argv[1:]:
    if name.split("/")[0] in ("1", "2", "3", "4", "5"):
        continue
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
EOF
