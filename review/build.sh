#!/usr/bin/env bash
# Builds what the scripts of the review start, after the build of the deploy file. The stand-ins
# are written in Python with its standard library alone, so they are only compiled as a check.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 -B - lib/*.py [0-9]/*.py <<'CHECK'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK
[ -x ../target/release/limpetsaddle ] || { echo "target/release/limpetsaddle is missing" >&2; exit 2; }
echo "the stand-ins are ready"
