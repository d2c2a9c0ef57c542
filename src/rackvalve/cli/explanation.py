"""``rackvalve explain job``: why a job was refused, late, failed or lost."""

from __future__ import annotations

import pathlib
import sys

from cleo.commands import command
from cleo import helpers

from rackvalve.explain import events
from rackvalve.explain import story as stories

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_UNKNOWN_JOB = 3
# Lines of a job's timeline that are shown.
SHOWN_MOST = 40


class ExplainJob(command.Command):
    """Explains from log lines what became of a job."""

    name = "explain job"
    description = (
        "Tells from the managers' log lines what became of a job, and why."
    )
    arguments = [
        helpers.argument("job", "The job's identifier, 16 hex digits."),
        helpers.argument(
            "files",
            "Files of log lines; none for standard input.",
            multiple=True,
            optional=True,
        ),
    ]

    def handle(self) -> int:
        """Read the lines, and print timeline, verdict and causes."""
        lines = self._read()
        if lines is None:
            return EXIT_USAGE
        story = stories.tell(self.argument("job"), lines)
        self._print(story, lines)
        return EXIT_OK if story.timeline else EXIT_UNKNOWN_JOB

    def _read(self) -> events.Lines | None:
        paths = self.argument("files")
        if not paths:
            return events.read_lines(sys.stdin)
        texts: list[str] = []
        for path in paths:
            try:
                text = pathlib.Path(path).read_text("utf-8", "replace")
            except OSError as error:
                self.line_error(f"{path}: {error}")
                return None
            texts.extend(text.splitlines())
        return events.read_lines(texts)

    def _print(self, story: stories.Story, lines: events.Lines) -> None:
        began = story.timeline[0].time if story.timeline else 0.0
        for event in story.timeline[:SHOWN_MOST]:
            self.line(
                f"{event.time - began:9.3f}  {event.vm:<16} {event.name:<18} "
                + stories.describe(event)
            )
        left = len(story.timeline) - SHOWN_MOST
        if left > 0:
            self.line(f"           ... and {left} more")
        self.line(f"{story.job}: {story.verdict}")
        for cause in story.causes:
            self.line(f"  - {cause}")
        if lines.unread:
            self.line_error(f"{lines.unread} lines were no events")
