"""`python -m brambleplank.wirehost`: reads batches from standard input, writes replies to standard output."""

import sys

from brambleplank.wirehost.pipe import serve

sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
