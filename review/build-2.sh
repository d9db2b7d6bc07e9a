#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python files on the standard library alone, so this compiles
# them with the interpreter of the deploy file's build and checks that they can be imported.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2 review/[6-9]/case.py review/10/case.py
cd review/standins2 && ../../.venv/bin/python -c "import peers"
