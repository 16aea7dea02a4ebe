"""Fleet-wide agreement on texts in numbered versions."""
