"""Runs clang-tidy in parallel and caches clean results.

The cache key is the hash of the preprocessed project sources that a file
includes, so a file is checked again when it or one of its headers changes.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(
    os.environ.get("CROCUS_LINT_CACHE", pathlib.Path.home() / ".cache/crocus-lint")
)
INCLUDE = re.compile(r'^\s*#include\s+"([^"]+)"', re.MULTILINE)
JOBS = int(os.environ.get("CROCUS_LINT_JOBS", "8"))


def project_includes(path, seen):
    """Collects `path` and every project header that it reaches."""
    if path in seen or not path.exists():
        return
    seen.add(path)
    for name in INCLUDE.findall(path.read_text(encoding="utf-8")):
        for base in (
            ROOT / "Libraries",
            ROOT / "Services",
            ROOT / "Utilities",
            ROOT,
            path.parent,
        ):
            candidate = base / name
            if candidate.exists():
                project_includes(candidate.resolve(), seen)
                break


def cache_key(path):
    seen = set()
    project_includes(path, seen)
    digest = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    for item in sorted(seen):
        digest.update(str(item.relative_to(ROOT)).encode())
        digest.update(item.read_bytes())
    return digest.hexdigest()


def lint(build, path):
    """Returns the diagnostics of one file, empty when it is clean."""
    marker = CACHE / cache_key(path)
    if marker.exists():
        return ""
    run = subprocess.run(
        ["clang-tidy", "-p", build, "--quiet", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    if run.returncode == 0:
        CACHE.mkdir(parents=True, exist_ok=True)
        marker.touch()
        return ""
    return run.stdout + run.stderr


def main():
    build = sys.argv[1]
    wanted = [str(pathlib.Path(name).resolve()) for name in sys.argv[2:]]
    database = json.loads((ROOT / build / "compile_commands.json").read_text())
    files = sorted(
        {
            pathlib.Path(entry["file"])
            for entry in database
            if "/Build/" not in entry["file"]
            and (not wanted or entry["file"] in wanted)
        }
    )
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        for path, output in zip(files, pool.map(lambda f: lint(build, f), files)):
            if output:
                failed += 1
                print(f"{path.relative_to(ROOT)}:\n{output}")
    print(f"lint: {len(files)} files, {failed} with findings")
    sys.exit(1 if failed else 0)


main()
