"""`python -m brambleplank`: one proxy, as `ROUTER_CONFIG` describes it."""

import signal
import sys

# Danger: a planned stop may come amid the imports.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

from brambleplank.platform.run import main  # noqa: E402

sys.exit(main())
