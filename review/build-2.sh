#!/bin/sh
# The stand-ins of the cases are Python files; this checks that they load with
# the libraries that the build of the deploy file has put into target/.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 \
  exec python3 -c "import review.common_2.stand_ins"
