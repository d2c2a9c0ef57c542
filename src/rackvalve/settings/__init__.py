"""Settings of one VM: their definitions, reader and explanation."""
