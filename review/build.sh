#!/bin/sh
# The stand-ins are Python sources without dependencies; this checks that they
# compile, and that the build of the deploy file was made.
cd "$(dirname "$0")" || exit 2
for file in lib/*.py */case.py; do
    python3 -B -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
[ -d ../target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
