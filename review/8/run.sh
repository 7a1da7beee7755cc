#!/bin/sh
# Usage: [TROUBLE=0] review/8/run.sh
cd "$(dirname "$0")/../.."
export CASE_FOLDER="$PWD/review/8"
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 review/8/case.py
