"""`python -m brambleplank`: one proxy, as `ROUTER_CONFIG` describes it."""

import signal
import sys

# Both may come amid the imports. A new configuration is read after them all the same.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

from brambleplank.platform.run import main  # noqa: E402

sys.exit(main())
