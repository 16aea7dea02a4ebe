"""Stand-ins for what the proxy speaks to; the proxy never imports them."""
