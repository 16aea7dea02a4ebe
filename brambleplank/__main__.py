"""`python -m brambleplank`: one proxy, as `ROUTER_CONFIG` describes it."""

import sys

from brambleplank.platform.run import main

sys.exit(main())
