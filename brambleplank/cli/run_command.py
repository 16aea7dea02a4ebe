"""The command `brambleplank run`."""

from __future__ import annotations

import signal
import sys

import click


@click.command("run", context_settings={"ignore_unknown_options": True})
@click.argument("file", type=click.Path())
@click.argument("application", nargs=-1, type=click.UNPROCESSED)
def command(file: str, application: tuple[str, ...]) -> None:
    """Run the sidecar that FILE describes.

    With a command after it (run FILE -- COMMAND ...), the application is started once the sidecar takes
    flows, told to leave once the sidecar is empty, and its exit code is the sidecar's.
    """
    # Either signal may arrive during the imports. SIGHUP is ignored, as the file is read after them anyway;
    # SIGTERM exits at once, as there is nothing to drain yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

    from brambleplank.sidecar.run import main

    sys.exit(main(file, list(application)))
