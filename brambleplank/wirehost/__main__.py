"""`python -m brambleplank.wirehost`: batches in on standard input, one reply each on standard output."""

import sys

from brambleplank.wirehost.pipe import serve

sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
