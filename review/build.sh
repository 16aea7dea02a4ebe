#!/bin/sh
# Builds what the cases start beside the proxy: nothing but Python files of the standard library, checked here.
set -eu
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[0-9]/*.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
