#!/bin/sh
# Builds what the scripts of the second review start. The managers are built
# by the deploy file. The stand-ins are Python modules that run from the
# repository with the libraries in target/deps, so it is enough to check that
# they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." \
    python3 -c "import review.harness2.deployment"
echo "stand-ins load"
