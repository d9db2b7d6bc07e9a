#!/bin/bash
# The stand-ins are Python files that need the standard library alone; this checks that the relay's interpreter reads them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/standins/*.py review/[1-5]/*.py; do
    .venv/bin/python -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
