"""Checks that nothing starts in a hall under evacuation."""

from __future__ import annotations

import dataclasses

from tools.soak import checks

# Time after the order within which starts are still allowed, in seconds.
TIME_LIMIT_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Evacuation:
    """An order to evacuate a hall.

    :param hall: The hall.
    :param began: When it was in the store, on the monotonic clock.
    :param ended: When it was withdrawn.
    """

    hall: str
    began: float
    ended: float

    def forbids(self, time, hall):
        """Return whether a start in a hall at a time breaks the order."""
        in_force = self.began + TIME_LIMIT_S < time < self.ended
        return hall == self.hall and in_force


def check_evacuations(evacuations, halls, journal):
    """Return starts in evacuated halls as violations.

    :param evacuations: All orders.
    :param halls: Hall by VM.
    :param journal: Rows of the workers' journal, oldest first.
    """
    vms = {}
    violations = []
    for time, kind, worker, subject, run, _ in journal:
        if kind == "life":
            vms[worker] = subject
        hall = halls.get(vms.get(worker))
        if kind == "start" and any(
            order.forbids(time, hall) for order in evacuations
        ):
            detail = f"{subject}: run {run} on {worker} in {hall}"
            violations.append(
                checks.Violation(
                    promise="none in evacuated halls", detail=detail
                )
            )
    return violations
