#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript in review/lib: they are only checked. The programs under test are those of
# the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
test -f ../target/main.cjs || { echo 'the build of the deploy file is missing' >&2; exit 1; }
