#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that use its
# standard library alone, so that this only checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys
import tomllib  # Python 3.11 or newer

assert sys.version_info >= (3, 11)
for path in [pathlib.Path("standin.py"), *sorted(pathlib.Path().glob("[1-5]/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PYTHON
test -x ../target/platform/shallotbeam-platform || {
  echo "target/platform/shallotbeam-platform is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
