#!/usr/bin/env bash
# Prepares the stand-ins of review 3. They are Python 3 programs of the standard
# library only, so that there is nothing to compile; this checks that they load.
set -eu
cd "$(dirname "$0")/standin-3"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 - <<'PY'
import ast
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in ("worker.py", "deploy.py", "case.py"):
    with open(name) as f:
        ast.parse(f.read(), name)
PY
echo "stand-ins of review 3 are ready"
