"""Times, limits and weights of the manager, each with its origin."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class WatchTiming:
    """How long watches wait.

    :param wait: Longest wait of the store for a change, in seconds.
    :param slack: How much later its answer may come, in seconds.
    :param max_slack: The same after failures, each of which doubles it.
    """

    wait: float
    slack: float
    max_slack: float


# -- the store -------------------------------------------------------------
# Longest wait for an answer.  A slow store takes 50 times 4 ms; beyond this
# it is better asked anew on another connection.
STORE_TIMEOUT_S = 0.8
# Length of one waiting watch.  Each one is a call that is paid for; a watch
# whose answer is lost is noticed only after this and the slack, which must be
# less than the 2 s within which a configuration has to be in force.
WATCH_WAIT_S = 1.0
# The answer to a waiting watch may be this late; a slow store takes a fifth of
# a second.
WATCH_SLACK_S = 0.6
# The same for the owner's watches over jobs and workers: while a store that
# loses its history says nothing on watches (1.2 s in plays), the owner would
# start nothing and give out no VM.  The waits cost 13 calls a second of one
# process at the most, of some 800 a second of all.
OWNER_WATCH_WAIT_S = 0.15
OWNER_WATCH_SLACK_S = 0.35
# Here the slack may grow: a store that is slower still must be heard.  That of
# the usual watches may not, for the sake of the configuration (above).
MAX_OWNER_WATCH_SLACK_S = 1.4
DEFAULT_WATCH = WatchTiming(
    wait=WATCH_WAIT_S, slack=WATCH_SLACK_S, max_slack=WATCH_SLACK_S
)
OWNER_WATCH = WatchTiming(
    wait=OWNER_WATCH_WAIT_S,
    slack=OWNER_WATCH_SLACK_S,
    max_slack=MAX_OWNER_WATCH_SLACK_S,
)
# Pause before a failed call to the store is made again.
STORE_RETRY_DELAY_S = 0.1
# A record that nothing waits for is written this much later, together with
# others.  The users' pages count an end as known 0.1 s after it was told.
WRITE_DELAY_S = 0.06
# The next commit is sent beside one that is under way after this time.  A
# store that is well answers in 4 to 6 ms, so that one commit at a time takes
# all; one 60 times slower gets 50 commits of up to 15 records a second, where
# one at a time made 120 records a second.
COMMIT_SPACING_S = 0.02
# Commits under way at the same time: with 15 records each, 1,000 records a
# second at answers of 0.24 s; 272 workers made up to 700.
MAX_COMMITS_IN_FLIGHT = 16
# Longest wait for the answer to the first try of a commit, and to any: a slow
# store answers within 0.24 s, a lost answer should cost little, and a store
# that is slower still must be heard in the end.
COMMIT_TIMEOUT_S = 0.4
MAX_COMMIT_TIMEOUT_S = 1.6

# -- ownership -------------------------------------------------------------
# Length of the owner's lease where nothing is late: the least that the store
# gives.  It is what a lost owner costs without starts.
MIN_OWNER_LEASE_S = 1.0
# Its greatest length, in seconds, where processes stand still or the store is
# slow: more would cost a lost owner's jobs more than 3 s.
MAX_OWNER_LEASE_S = 3.0
# How much longer it is for each second by which this process was late lately:
# once for the renewal itself, once for the one before.
LEASE_PER_DELAY = 2.0
# What was late is remembered for this long, in seconds; less than the second
# figure does not count: the shortest lease bears it twice between renewals.
DELAY_RETENTION_S = 20.0
MIN_DELAY_S = 0.25
# Pause between two renewals, and the longest wait for an answer to one: one
# renewal may not arrive, any number of answers may be lost, and a slow store
# answers within 0.24 s.
OWNER_RENEWAL_INTERVAL_S = 0.25
RENEWAL_TIMEOUT_S = 0.4
# The store was away if it has answered nothing for so long: a watch is
# answered within a second, or 0.3 s later by a slow store.
STORE_OUTAGE_S = 1.5
# An owner that hears nothing from the store goes on extending the leases of
# what runs for this long.  With the lease itself that bears outages of 8 s;
# longer lengthens the wait for proof after a change of owner.
EXTENSION_LIMIT_S = 4.0

# -- workers ---------------------------------------------------------------
# Lease on what runs on a worker: bears a change of owner (2 s) and two lost
# holds; work on a worker that is lost waits for its end.
WORKER_LEASE_S = 4.0
# Longest wait of a hold for an end: decides how soon a silent worker is
# noticed.
HOLD_WAIT_S = 0.5
# Longest time beyond that wait in which a hold is answered.  A busy worker, or
# a busy process of ours, takes longer than an order is given; a lease is only
# extended after an answered hold, so a limit that is never kept would let all
# lapse on a worker that is reached.  With the wait and the pause before it, a
# hold that follows one without an answer still ends within the lease.
MAX_HOLD_TIMEOUT_S = 1.5
# A hold takes no longer than this, in seconds.
MAX_HOLD_S = HOLD_WAIT_S + MAX_HOLD_TIMEOUT_S
# A hold is given so many times what the last one took beyond its wait.
HOLD_TIMEOUT_FACTOR = 2.0
# After a report with ends the next hold waits this long for their record:
# before that, the worker would tell the same ends at once.
RECORD_WAIT_S = 0.2
# A start that a worker which answers holds has not answered for this long is
# given up: the run is sealed by a stop, and its task starts elsewhere.
START_TIMEOUT_S = 1.5
# Longest wait for a worker's answer to an order.
ORDER_TIMEOUT_S = 0.5
# Pause before a failed order or hold is made again.
ORDER_RETRY_DELAY_S = 0.1
# Longest pause between two holds of a silent worker that runs nothing.  Most
# of these are off for good: their VM was moved or maintained.
MAX_HOLD_RETRY_DELAY_S = 1.0
# A worker that has not answered for this long gets no new work.
FRESHNESS_S = 0.9
# A worker's entry that is missing for longer than this is taken as gone; the
# platform brings entries back about two seconds after an outage's end.
ENTRY_GRACE_S = 2.2
# A stop that an earlier owner ordered shows this much after its longest time:
# holds are answered after half a second at the latest.
STOP_MARGIN_S = 0.6
# Orders to one worker that may be under way at the same time.
ORDER_SENDERS = 3

# -- planning --------------------------------------------------------------
# Least time between two plans: a busy owner was woken 235 times a second, and
# a plan goes through all jobs that wait.  A start waits about as long for its
# record in the store anyway.
PLAN_INTERVAL_S = 0.01
# Longest time between two looks for runs to stop or release, and for due
# repetitions.
CHECK_INTERVAL_S = 0.1

# -- admission -------------------------------------------------------------
# Pause when no step waits for an admission.
ADMISSION_INTERVAL_S = 0.05
# Pause after the service has failed.
ADMISSION_RETRY_DELAY_S = 0.2
# Longest wait beyond the time that the configuration gives for an answer;
# calls of this process are answered in turn.
ADMISSION_SLACK_S = 1.0
# Tickets are not used for the last part of their time.
TICKET_EXPIRY_MARGIN_S = 0.2
# Workers named in one call: each one makes the answer later.  The users'
# objective counts one call on 30 workers a step.
MAX_ADMISSION_WORKERS = 30

# -- VMs -------------------------------------------------------------------
# How often it is decided which VM is closed, vacated or maintained next.
VM_CONTROL_INTERVAL_S = 0.1
# How often the platform's list of VMs is read, with a wave under way or not.
LIST_BUSY_INTERVAL_S = 0.4
LIST_INTERVAL_S = 2.0
# An order to a VM is given this long after the store was asked at most.  No
# other process gives that VM orders within its own pause.
MAX_CONFIRMATION_AGE_S = 0.9
# An order without an answer is given again after this pause, so many times.
VM_ORDER_RETRY_DELAY_S = 0.3
VM_ORDER_ATTEMPTS = 10
# How often the sizes of pools are logged.
SIZES_LOG_INTERVAL_S = 1.0
# Longest wait for an answer of the platform's interface to its VMs.
VM_API_TIMEOUT_S = 1.0

# -- callers ---------------------------------------------------------------
# Longest time spent on a caller's request when it names no deadline.
REQUEST_BUDGET_S = 2.0
# Part of the caller's deadline that may be spent on its request.
DEADLINE_SHARE = 0.6
# When to come back after a refusal; and after one for want of the store, which
# is mostly away for longer: callers come back four times at most, and outages
# of the users' days last 4 to 9 s.
RETRY_AFTER_S = 1
RETRY_AFTER_OUTAGE_S = 2
# A process that has not heard from the store for this long takes no jobs: a
# watch is answered after a second, or 0.2 s later by a slow store.
MAX_STORE_SILENCE_S = 1.6
# Callers are answered by a configuration that was the newest within this
# time: longer than a watch that is well takes (1 s, 0.2 s more by a slow
# store), shorter than the 2 s within which one has to be in force.
MAX_VIEW_AGE_S = 1.5

# Least time between two comparisons of the configuration with the store's.
# Callers with invented keys or paths make each manager compare at most 20
# times a second, 33 managers 660 times where the store takes 1,200 writing and
# 6,000 reading calls; one whose key was added a moment ago waits this much
# longer at the most.
COMPARISON_SPACING_S = 0.05

# -- failures --------------------------------------------------------------
# Pause before a task of the process that met an error which nobody expected
# begins anew: an owner's lease of a second bears it twice.
TASK_RESTART_DELAY_S = 0.25

# -- end -------------------------------------------------------------------
# After SIGTERM new connections are taken for this long: the balancer needs
# two missed looks, a second apart.
SHUTDOWN_DELAY_S = 2.6
# The process ends once no call was under way for this long after it has taken
# its last connection: what was just accepted is read within some milliseconds.
SHUTDOWN_IDLE_S = 0.1
# The process ends this long before it would be killed.
SHUTDOWN_MARGIN_S = 0.5

# -- records ---------------------------------------------------------------
# Ended jobs are kept this much longer than the users ask.
KEEP_MARGIN_S = 30.0
COLLECT_INTERVAL_S = 5.0
# How often the numbers of waiting jobs are published, if they changed, and if
# not: their age is told by the time of the last publishing.
WAITING_INTERVAL_S = 0.7
WAITING_RENEWAL_S = 1.0
# Callers bear a number that is 2 s old.  Reading it from a slow store takes
# 0.24 s, publishing it as long.
MAX_COUNT_AGE_S = 1.6
# Clocks of VMs that are well differ by less than this, in seconds.
MAX_CLOCK_SKEW_S = 0.5
# What a process has counted itself is told again for this long: a burst of
# questions, while nobody publishes, costs one reading of a queue's records.
COUNT_CACHE_S = 0.5
