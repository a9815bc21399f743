#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python programs that
# use its standard library only, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common/*.py [1-5]/*.py <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("review/build.sh: Python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
print("the stand-ins are ready")
PYTHON
