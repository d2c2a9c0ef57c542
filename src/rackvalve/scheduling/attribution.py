"""Decision whether a job, or VMs by themselves, caused workers' crashes.

A crash under an isolated run counts against its job at first.  The decision
is made SETTLING_S later, since the crash of another VM that lost power at the
same moment may be detected later.  Until then the job's tasks wait if the
job would fail.  It fails only if no VM, rack or pool explains the crashes.
"""

from __future__ import annotations

from collections.abc import Sequence

from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import crash_history
from rackvalve.scheduling import crash_series
from rackvalve.scheduling import crashes
from rackvalve.scheduling import releases
from rackvalve.scheduling import vm_crashes
from rackvalve.scheduling import workers

# Time from the end of a worker to a decision, in seconds: the ends of workers
# with one cause are noticed within this time of each other.
SETTLING_S = crash_series.SAME_CAUSE_S
# How long a task waits that has had all starts that users accept while the
# evidence does not suffice, in seconds.  Then it is decided again, and the
# task starts once more if VMs still explain its crashes.
SPENT_DELAY_S = 10.0
# An owner that took over, and is younger than this (seconds), does not know
# yet whether VMs crash by themselves: one period of a VM that crashes every
# 5 s.
LEARNING_S = 5.0
# How long a job is not failed while another worker may have ended at the
# moment of a crash, in seconds, and how often that is checked.
DOUBT_S = 2.5
RECHECK_S = 0.5
# Most crashes that the reason of a failed job names.
MAX_SHOWN = 3


def note_crash(
    cluster: clusters.Cluster,
    worker: workers.WorkerState,
    ended: Sequence[workers.PlacedRun],
    suspect: workers.PlacedRun | None,
    *,
    fate: releases.Fate,
    now: float,
) -> None:
    """Record that a worker has crashed or is out of reach.

    :param cluster: The owner's view of the cluster.
    :param worker: The worker.
    :param ended: All runs that it had.
    :param suspect: The isolated run that alone can have caused the crash.
    :param fate: What became of the worker.
    :param now: Present time, in seconds.
    """
    is_crashed = fate is releases.Fate.CRASHED
    if not is_crashed and fate is not releases.Fate.OUT_OF_REACH:
        return
    if worker.is_end_noted or not (worker.established or ended):
        # A worker that never answered this owner may have ended long ago; if
        # it ran nothing, that is not a crash of an idle worker.
        return
    worker.is_end_noted = True
    history = cluster.crash_history
    crash = vm_crashes.WorkerCrash(
        worker,
        ended,
        suspect.state if suspect is not None else None,
        is_certain=is_crashed,
        now=now,
    )
    history.vms.note(crash)
    if suspect is not None and not suspect.state.is_final:
        isolated = crash_history.IsolatedCrash(
            crash,
            suspect,
            is_prompt=is_crashed
            and crashes.is_prompt(suspect.run, crash.latest),
        )
        known = history.isolated.setdefault(suspect.state.identity, [])
        known.append(isolated)


def postpone(
    cluster: clusters.Cluster, placed: workers.PlacedRun, now: float
) -> None:
    """Have a job decided on later if one of its runs may have crashed.

    :param cluster: The owner's view of the cluster.
    :param placed: The run, which is released.
    :param now: Present time, in seconds.
    """
    state, task = placed.state, placed.task
    history = cluster.crash_history
    if state.is_final or not task.crashes:
        return
    task.needs_proof = task.needs_proof or _is_disturbed(cluster, state)
    own = history.isolated.get(state.identity, [])
    undecided = sum(one.is_prompt and not one.is_counted for one in own)
    # Not counted from the proof of the crash, which may come 2 s later.
    ended = max((one.crash.latest for one in own), default=float("-inf"))
    due = max(now, ended + SETTLING_S)
    if own:
        history.due[state.identity] = due
    # Also for a sibling's crash: the decision moves, and the wait with it.
    if any(
        one.crashes >= crashes.MAX_CRASHES
        or crashes.is_given_up(
            state, one, is_disturbed=False, undecided=undecided
        )
        for one in crashes.list_suspects(state)
    ):
        history.due[state.identity] = due
        _hold(state, due)


def _hold(state: progress.JobState, until: float) -> None:
    """Let the waiting tasks of a job wait for the decision."""
    for name in state.waiting:
        task = state.tasks[name]
        task.not_before = max(
            task.not_before, until + crash_history.DECISION_DELAY_S
        )


def _is_disturbed(cluster: clusters.Cluster, state: progress.JobState) -> bool:
    """Return whether VMs of a job's pool crash by themselves."""
    queue = cluster.queues.get(state.queue)
    vms = cluster.crash_history.vms
    return queue is not None and vms.is_disturbed(queue.pool)


def _is_learning(cluster: clusters.Cluster, now: float) -> bool:
    """Return whether an owner may not know yet that VMs crash."""
    is_young = now - cluster.owned_since < LEARNING_S
    return cluster.crash_history.is_successor and is_young


def decide_due(cluster: clusters.Cluster, now: float, wall: float) -> None:
    """Decide on all jobs whose decision is due.

    :param cluster: The owner's view of the cluster.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    """
    history = cluster.crash_history
    history.vms.forget_old(now)
    if history.vms.recent or history.prone:
        history.prone = frozenset(vm for vm, _ in history.vms.count_by_vm())
        for worker in cluster.workers.values():
            vm = worker.location.vm if worker.location is not None else ""
            worker.is_crash_prone = vm in history.prone
    for identity, due in list(history.due.items()):
        if now < due:
            continue
        del history.due[identity]
        state = cluster.jobs.get(identity)
        if state is None or state.is_final:
            history.forget(identity)
        else:
            _decide(cluster, state, now, wall)


def _decide(
    cluster: clusters.Cluster,
    state: progress.JobState,
    now: float,
    wall: float,
) -> None:
    history = cluster.crash_history
    known = [
        one
        for one in history.isolated.get(state.identity, [])
        # A task that was cleared since has forgotten its crashes.
        if one.crash.incarnation in one.placed.task.crashed_incarnations
    ]
    for one in known:
        _weigh(cluster, one)
    history.isolated[state.identity] = known
    cluster.mark_changed(state)
    # What only earlier owners have seen was not compared with other crashes by
    # this one: VMs may have caused it.
    is_compared = any(
        not one.cause and not one.placed.run.inherited for one in known
    )
    disturbed = _is_disturbed(cluster, state) or any(
        one.cause for one in known
    )
    learning = _is_learning(cluster, now)
    suspects = sorted(
        crashes.list_suspects(state), key=lambda task: -task.crashes
    )
    for task in suspects:
        # Of this task only: each start in isolation takes a whole worker.
        task.needs_proof = task.needs_proof or any(
            one.cause and one.placed.task is task for one in known
        )
        if crashes.is_given_up(
            state, task, is_disturbed=disturbed, is_compared=is_compared
        ):
            is_certain = not learning or crashes.is_given_up(
                state, task, is_disturbed=True
            )
            if not is_certain or any(
                _is_doubtful(cluster, one, now) for one in known
            ):
                history.due[state.identity] = now + RECHECK_S
                _hold(state, now + RECHECK_S)
                return
            _note_decision(history, state, task, known, is_failed=True)
            _fail(cluster, state, task, known, now, wall)
            return
    if suspects:
        _note_decision(history, state, suspects[0], known, is_failed=False)
    for task in suspects:
        key = (f"{state.identity}.{task.name}", task.crashes)
        if task.crashes < crashes.MAX_CRASHES or key in history.delayed:
            continue
        history.delayed.add(key)
        history.due[state.identity] = now + SPENT_DELAY_S
        _hold(state, now + SPENT_DELAY_S)


def _weigh(
    cluster: clusters.Cluster, one: crash_history.IsolatedCrash
) -> None:
    """Count a crash against its job, or no longer if a VM explains it.

    What was explained counts again once the other crash turns out to be
    caused by a job.
    """
    task = one.placed.task
    if one.other is not None and not one.other.is_job_caused:
        return
    if one.cause and one.other is None:
        # It was cut off with another worker, and stays explained.
        return
    one.other = cluster.crash_history.vms.find_cause(one.crash, one.placed)
    cause = ""
    if one.other is not None:
        cause = f"{one.other.incarnation} on {one.other.vm} crashed as well"
    elif not one.crash.is_certain:
        cause = _find_cut(cluster, one.crash)
    if cause and not one.cause:
        task.isolated_crashes = max(0, task.isolated_crashes - 1)
        task.prompt_crashes = max(0, task.prompt_crashes - one.is_counted)
        one.is_counted = False
    elif one.cause and not cause:
        task.isolated_crashes += 1
    one.cause = cause
    if not cause and one.is_prompt and not one.is_counted:
        one.is_counted = True
        task.prompt_crashes += 1


def _find_cut(cluster: clusters.Cluster, crash: vm_crashes.WorkerCrash) -> str:
    """Return which worker stopped answering with one that is out of reach.

    Both are most likely cut off, and may still run.

    :return: Empty if there is none.
    """
    for other in cluster.workers.values():
        entry = other.entry
        if entry is None or other.unanswered is None or entry.vm == crash.vm:
            continue
        is_near = entry.pool == crash.pool or (
            bool(crash.rack) and entry.rack == crash.rack
        )
        if is_near and crash.is_simultaneous(*other.unanswered):
            return f"{other.identity} on {entry.vm} stopped answering as well"
    return ""


def _is_doubtful(
    cluster: clusters.Cluster, one: crash_history.IsolatedCrash, now: float
) -> bool:
    """Return whether another worker may have ended at the moment of a crash.

    Its end may not be proved yet, or one of its tasks may be the cause; the
    tasks that are not are mostly cleared within DOUBT_S.
    """
    crash = one.crash
    if one.cause or now > crash.latest + DOUBT_S:
        return False
    if cluster.crash_history.vms.find_doubt(crash, one.placed) is not None:
        return True
    return any(
        other.entry is not None
        and other.unanswered is not None
        and other.entry.vm != crash.vm
        and other.entry.pool == crash.pool
        and crash.is_simultaneous(*other.unanswered)
        for other in cluster.workers.values()
    )


def _note_decision(
    history: crash_history.CrashHistory,
    state: progress.JobState,
    task: progress.Task,
    known: Sequence[crash_history.IsolatedCrash],
    *,
    is_failed: bool,
) -> None:
    """Queue the log line of a decision, with its evidence."""
    history.decisions.append(
        crash_history.Decision(
            job=state.identity,
            task=str(task.name),
            is_failed=is_failed,
            evidence=tuple(one.describe() for one in known if not one.cause),
            explained=tuple(
                f"{one.describe()}: {one.cause}" for one in known if one.cause
            ),
        )
    )


def _fail(
    cluster: clusters.Cluster,
    state: progress.JobState,
    task: progress.Task,
    known: Sequence[crash_history.IsolatedCrash],
    now: float,
    wall: float,
) -> None:
    """Fail a job that alone can have caused its workers' crashes."""
    history = cluster.crash_history
    isolated = crashes.count_isolated_crashes(state)
    listed = [one.describe() for one in known if not one.cause]
    shown = "earlier owners have seen them"
    if listed:
        shown = ", ".join(listed[-MAX_SHOWN:])
        shown += "; no other worker is known to have ended then"
    reason = (
        f"{task.crashes} workers crashed under task {task.name}; of the "
        f"crashes under this job no other job can have caused {isolated}, "
        f"and no VM explains them: {shown}"
    )
    cluster.finish_job(state, progress.Phase.FAILED, wall, reason)
    history.forget(state.identity)
    history.crashing_jobs.match(state, cluster.open_jobs.values())
    for other in crashes.discount_explained(state, cluster.open_jobs.values()):
        cluster.mark_changed(other)
    # Crashes of this job may have been taken for those of VMs.
    for identity, own in history.isolated.items():
        if any(one.cause for one in own):
            history.due.setdefault(identity, now)
