"""Settings of one VM: catalog, reader and reference text."""
