#!/bin/sh
# Checks what the scripts of review/11 to review/15 start.  The stand-ins are
# Python, so nothing is compiled; the libraries come from the deploy file's
# build.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || {
    echo "target/deps is missing: run the build of deploy/system.toml first"
    exit 1
}
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sesamehall.scripts.manager
import standins.metadatastore
import review.harness3.lab
'
