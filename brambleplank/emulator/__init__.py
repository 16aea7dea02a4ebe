"""Stand-ins for the clients, servers and Consul agents around a proxy. The proxy never imports them."""
