"""`python -m brambleplank.command`: the same as the installed command."""

from brambleplank.command import main

main(prog_name="brambleplank")
