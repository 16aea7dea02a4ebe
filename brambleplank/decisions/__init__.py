"""The balancing decisions of one proxy. No I/O, no Twisted and no clock: each call passes the time."""
