"""Adapter to the users' platform, used by the managers.

The modules translate between the platform's names, formats and calls and the
types of the other packages.  They make no scheduling decisions, and no other
package uses the names of the platform's wire formats; an import contract and
``tools/names.py`` check both.
"""
