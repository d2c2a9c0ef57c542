"""The adapter to the users' platform: names, formats and calls.

Everything here translates between the platform's documents and the types
that the rest of the product uses.  Nothing here decides anything, and no
other package knows a name of the platform's wire formats; an import rule and
``tools/names.py`` hold that.
"""
