#!/usr/bin/env bash
# The stand-ins of the scripts in review/11 to review/15 are Python programs on the standard
# library: there is nothing to compile. Checks that Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/case.py <<'PYTHON'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
