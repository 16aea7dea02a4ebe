#!/bin/sh
# Builds the stand-ins of the second review: Python programs that need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/second review/*/case.py
