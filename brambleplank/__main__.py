"""`python -m brambleplank`: runs one proxy with the configuration file that `ROUTER_CONFIG` names."""

import signal
import sys

# Either signal may arrive during the imports. An ignored SIGHUP loses nothing:
# the configuration is read after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

from brambleplank.platform.run import main  # noqa: E402

sys.exit(main())
