"""Logging of exceptions that Twisted has caught."""

from __future__ import annotations

from typing import Any

from twisted.logger import globalLogBeginner

from brambleplank.net.proxy import Proxy


def log_unhandled_exceptions(proxy: Proxy) -> None:
    """Logs each exception as one line of the proxy's log; Twisted would print a traceback, or nothing."""

    def observe(event: dict[str, Any]) -> None:
        """Logs the exception of a Twisted log event, if it has one."""
        failure = event.get("log_failure") or event.get("failure")
        if failure:
            proxy.report_exception(failure.value, failure.getTracebackObject())

    observers: list[Any] = [observe]
    globalLogBeginner.beginLoggingTo(observers, discardBuffer=True, redirectStandardIO=False)
