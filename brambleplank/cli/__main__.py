"""Runs the command as `python -m brambleplank.cli`."""

from brambleplank.cli import main

main(prog_name="brambleplank")
