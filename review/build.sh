#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: Python files that need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed, for tomllib")
PY
python3 -m py_compile standin.py */case.py
echo "stand-ins are built"
