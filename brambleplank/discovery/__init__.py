"""Sources of the endpoint list: one package each, independent of the others."""
