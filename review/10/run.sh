#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 exec python3 review/10/case.py
