"""The network host of the decisions: sockets, timers and the log. It makes no balancing decisions itself."""
