#!/usr/bin/env bash
# Checks the stand-ins of the cases; they are Python and need no compilation.
# The build of the deploy file has to run before this.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.harness"
