#!/bin/sh
# Checks that the stand-ins and the cases compile; they need only python3.
cd "$(dirname "$0")" || exit 1
for source in standins/*.py [0-9]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source" || exit 1
done
