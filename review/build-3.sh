#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs without
# dependencies, so that there is nothing to compile: checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
	[ -e "$file" ] || continue
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/packages/daemon/bergamotd || {
	echo "target/packages/daemon/bergamotd is missing: build as the deploy" \
		"file says" >&2
	exit 1
}
