#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 timeout 115 \
    python3 -m review.12.case
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
