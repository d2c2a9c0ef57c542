"""The commands ``rackvalve explain``, which analyze log lines."""

from __future__ import annotations

import pathlib
import sys

from cleo.commands import command
from cleo import helpers

from rackvalve.explain import day as days
from rackvalve.explain import events
from rackvalve.explain import job_report

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_UNKNOWN_JOB = 3
# Maximum number of lines of a job's timeline that are shown.
TIMELINE_LINES_MAX = 40


_FILES = helpers.argument(
    "files",
    "Files of log lines; none for standard input.",
    multiple=True,
    optional=True,
)


class _ExplainCommand(command.Command):
    """Base of the commands that read log lines."""

    def read(self) -> events.Lines | None:
        """Read the files, or standard input.

        :return: ``None`` if a file cannot be read; the error is printed.
        """
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


class ExplainDay(_ExplainCommand):
    """Explains which jobs were late, when, and why."""

    name = "explain day"
    description = (
        "Tells from the managers' log lines which jobs were late, when, and "
        "what they waited for."
    )
    arguments = [_FILES]

    def handle(self) -> int:
        """Print time windows, totals and stalled jobs."""
        lines = self.read()
        if lines is None:
            return EXIT_USAGE
        assessments = days.assess(lines)
        if not assessments:
            self.line_error("no line tells of a job that ended")
            return EXIT_UNKNOWN_JOB
        self._print_windows(assessments)
        self._print_totals(assessments)
        self._print_stalls(lines)
        return EXIT_OK

    def _print_windows(self, assessments: list[days.Assessment]) -> None:
        began = assessments[0].accepted
        self.line(
            f"{'second':>7}  {'pool':<16} {'jobs':>5} {'late':>5}  cause"
        )
        cells = days.tabulate(assessments, began)
        for (window, pool), cell in sorted(cells.items()):
            causes = ", ".join(
                f"{count} {cause}"
                for cause, count in cell.causes.most_common()
            )
            second = window * days.WINDOW_S
            self.line(
                f"{second:7.0f}  {pool:<16} {cell.jobs:5} {cell.late:5}  "
                f"{causes}".rstrip()
            )

    def _print_stalls(self, lines: events.Lines) -> None:
        found = days.sum_stalls(lines)
        for (pool, reason), cell in sorted(found.items()):
            self.line(
                f"  stood still: {pool or 'no pool'}: {reason}: told in "
                f"{cell.seconds} s, {cell.most} jobs at once, "
                f"{cell.longest:.1f} s at the longest"
            )

    def _print_totals(self, assessments: list[days.Assessment]) -> None:
        late = [assessment for assessment in assessments if assessment.late]
        self.line(f"{len(late)} of {len(assessments)} jobs were late")
        for cause, seconds in days.sum_waits(assessments).items():
            self.line(f"  {seconds:8.1f} s waited for: {cause}")
        for queue in sorted({assessment.queue for assessment in assessments}):
            own = [v for v in assessments if v.queue == queue]
            self.line(f"  {queue}: {_count_late_by_size(own)}")


def _count_late_by_size(assessments: list[days.Assessment]) -> str:
    """Return how many of the small, medium and large jobs were late."""
    ranked = sorted(assessments, key=lambda assessment: assessment.tasks)
    third = -(-len(ranked) // 3)
    parts = []
    for name, start in (("small", 0), ("middle", third), ("large", 2 * third)):
        part = ranked[start : start + third]
        late = sum(1 for assessment in part if assessment.late)
        parts.append(f"{late} of {len(part)} {name}")
    return ", ".join(parts) + " ones late"


class ExplainJob(_ExplainCommand):
    """Explains the course and outcome of a job."""

    name = "explain job"
    description = (
        "Tells from the managers' log lines what became of a job, and why."
    )
    arguments = [
        helpers.argument("job", "The job's identifier, 16 hex digits."),
        _FILES,
    ]

    def handle(self) -> int:
        """Read the lines, and print timeline, result and causes."""
        lines = self.read()
        if lines is None:
            return EXIT_USAGE
        report = job_report.make_report(self.argument("job"), lines)
        self._print(report, lines)
        return EXIT_OK if report.timeline else EXIT_UNKNOWN_JOB

    def _print(self, report: job_report.Report, lines: events.Lines) -> None:
        began = report.timeline[0].time if report.timeline else 0.0
        for event in report.timeline[:TIMELINE_LINES_MAX]:
            self.line(
                f"{event.time - began:9.3f}  {event.vm:<16} {event.name:<18} "
                + job_report.describe(event)
            )
        left = len(report.timeline) - TIMELINE_LINES_MAX
        if left > 0:
            self.line(f"           ... and {left} more")
        self.line(f"{report.job}: {report.result}")
        for cause in report.causes:
            self.line(f"  - {cause}")
        if lines.unread:
            self.line_error(f"{lines.unread} lines were no events")
