"""Tools of the repository: checks, demo, measurements."""
