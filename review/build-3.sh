#!/bin/sh
# Prepares the cases 11 to 15, after the build of the deploy file. Their stand-ins (`rig3.py`) need
# the standard library only, so that nothing is downloaded or compiled.
set -eu
cd "$(dirname "$0")/.."
test -e target/deps/cassiaseam || sh deploy/build.sh
for part in review/rig3.py review/1[1-5]/run.py; do
    test ! -e "$part" || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$part"
done
