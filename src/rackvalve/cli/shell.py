"""History and completion of the interactive command line."""

from __future__ import annotations

import readline

from rackvalve.language import parser

HISTORY_LENGTH = 1000


def set_up_history() -> None:
    """Enable history and tab completion of keywords."""
    readline.set_history_length(HISTORY_LENGTH)
    readline.set_completer(complete)
    readline.parse_and_bind("tab: complete")


def complete(text: str, state: int) -> str | None:
    """Return a keyword that starts with a prefix.

    :param text: The prefix.
    :param state: Index of the requested match, from 0.
    """
    matching = [word for word in parser.WORDS if word.startswith(text.upper())]
    return matching[state] if state < len(matching) else None
