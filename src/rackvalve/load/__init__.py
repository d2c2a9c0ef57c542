"""Load generator: sends requests, checks the answers and summarizes."""
