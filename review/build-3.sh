#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the deploy file's
# build: their stand-ins are Python without dependencies, so they are only
# checked to compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), 'Python 3.11 or newer is needed'
paths = [*pathlib.Path('standins-3').glob('*.py')]
for number in range(11, 16):
    paths.extend(pathlib.Path(str(number)).glob('*.py'))
for path in paths:
    ast.parse(path.read_text(), str(path))
print(f'{len(paths)} files')
PY
