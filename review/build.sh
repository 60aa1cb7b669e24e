#!/bin/sh
# Prepares the stand-ins of the scripts. They are Python files of this repository that use the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review src/cassiaseam_standin
