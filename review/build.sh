#!/usr/bin/env bash
# The scripts' stand-ins are Python 3.8 or later with its standard library only, so there is nothing to
# compile: this checks that they load, and that the node was built with the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
for f in lib/*.py [0-9]*/*.py; do
  python3 - "$f" <<'PY'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
PY
done
test -x ../target/release/ibisrouted || { echo "build the node first, with the command of the deploy file" >&2; exit 1; }
