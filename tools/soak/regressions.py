"""Seeds that once failed, each with what was found."""

from __future__ import annotations

import dataclasses

from tools.soak import plan


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Regression:
    """A seed that failed.

    :param seed: The seed.
    :param managers: Number of managers it was run with.
    :param cause: What was found.
    :param shape: How its faults were spread.
    :param only: Kinds of faults that it was drawn from, if not all.
    """

    seed: int
    managers: int
    cause: str
    shape: str = plan.STEADY
    only: tuple = ()


_LATE = (
    "a fault of the check: a call that began as the process ended was counted "
    "as cut off"
)
_REFUSED = (
    "a fault of the check, on a busy machine: the listener was closed 0.3 s "
    "before the process was gone, and a new connection was refused"
)
_PROOF = (
    "no job stands still: the proof that a crashed worker's runs are over "
    "ended with its owner; each next one waited 8.4 s anew"
)
_STALE = (
    "one run at a time: a life that was just answered went silent; a list "
    "0.8 s old, read after its last answer, still told that its VM was down, "
    "of the life before, and its runs were taken to be over"
)
_SECOND = (
    "one run at a time: the second answer to an earlier call was taken for a "
    "report that lists no runs"
)
_ODD_ANSWERS = (
    "worker silent",
    "worker closing",
    "worker stuttering",
    "store closing",
    "store stuttering",
)
_RESTARTS = (
    "worker restarted",
    "all workers restarted",
    "owner killed",
    "owner frozen",
    "worker late calls",
    "job crashing",
)
REGRESSIONS = (
    Regression(seed=200, managers=6, cause=_LATE),
    Regression(seed=201, managers=6, cause=_LATE),
    Regression(seed=1015, managers=6, cause=_REFUSED),
    Regression(seed=1022, managers=6, cause=_REFUSED),
    Regression(seed=1024, managers=6, cause=_REFUSED),
    Regression(seed=2015, managers=4, cause=_REFUSED),
    Regression(seed=2023, managers=4, cause=_REFUSED),
    Regression(
        seed=2018,
        managers=4,
        cause="a fault of the stand-in: a move that was repeated since its "
        "answer was lost was carried out twice",
    ),
    Regression(
        seed=2022,
        managers=4,
        cause="a connection was taken 2 ms before its manager ended, and cut",
    ),
    Regression(seed=50, managers=6, shape=plan.BURSTS, cause=_PROOF),
    Regression(seed=237, managers=6, shape=plan.BURSTS, cause=_PROOF),
    Regression(seed=301, managers=6, shape=plan.BURSTS, cause=_PROOF),
    Regression(seed=37, managers=6, shape=plan.BURSTS, cause=_STALE),
    Regression(
        seed=21,
        managers=3,
        shape=plan.BURSTS,
        only=("worker crashed and silent",),
        cause=_STALE,
    ),
    Regression(
        seed=7004,
        managers=4,
        shape=plan.BURSTS,
        only=("job crashing",),
        cause="a lasting task was given up beside jobs that crash workers: "
        "its runs had to work for 3 s to clear it",
    ),
    Regression(
        seed=24002,
        managers=4,
        shape=plan.BURSTS,
        only=("job crashing", "owner killed", "owner frozen"),
        cause="a lasting task was given up beside jobs that crash workers: "
        "crashes counted as in isolation after others had come, and five "
        "crashes ended a job whoever had caused them",
    ),
    Regression(
        seed=8000,
        managers=4,
        shape=plan.BURSTS,
        only=(*_ODD_ANSWERS, "owner killed"),
        cause=_SECOND,
    ),
    Regression(
        seed=32005,
        managers=4,
        shape=plan.BURSTS,
        only=(
            *_ODD_ANSWERS,
            "owner killed",
            "owner frozen",
            "worker crashed",
            "store silent",
        ),
        cause="one run at a time: a report came again within its millisecond",
    ),
    Regression(
        seed=8200,
        managers=4,
        shape=plan.BURSTS,
        only=("worker stuttering",),
        cause=_SECOND,
    ),
    *(
        Regression(
            seed=seed,
            managers=4,
            shape=plan.BURSTS,
            only=_RESTARTS,
            cause="not again once done: what was known of a worker outlived "
            "its life, and the next one forgot its ends unread",
        )
        for seed in (43001, 43002)
    ),
)
