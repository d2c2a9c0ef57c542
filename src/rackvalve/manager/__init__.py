"""The program that runs on each entry VM of the users' platform."""
