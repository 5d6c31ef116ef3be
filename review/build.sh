#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: byte-compiles those of this
# folder and the project's own store, and loads each once with the libraries of
# the deployed product (`target/deps`).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/common
PYTHONPATH="$PWD:$PWD/review/common:$PWD/target/deps" python3 -c "
import case_record, clients, deadly, engines, fleet, metadata, runners, scene
print('stand-ins built')
"
