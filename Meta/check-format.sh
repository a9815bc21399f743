#!/usr/bin/env bash
# Fails if a source file differs from the output of clang-format, or generated
# code from the output of Meta/generate.py. `--fix` rewrites the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | sort -u)
if [ "${1:-}" = "--fix" ]; then
  /usr/bin/python3 Meta/generate.py
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
/usr/bin/python3 Meta/generate.py --check
echo "format: ${#files[@]} files, generated code current"
