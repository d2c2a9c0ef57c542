"""Timeouts, intervals and limits of the manager, each with its reason."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class WatchTiming:
    """How long a watch waits for the store.

    :param wait: How long the store waits for a change, in seconds.
    :param slack: Time beyond ``wait`` until the call times out, in seconds.
    :param max_slack: Limit of the slack, in seconds; each failure doubles
        the slack up to it.
    """

    wait: float
    slack: float
    max_slack: float


# -- the store -------------------------------------------------------------
# Timeout of a call.  A slow store takes 50 times 4 ms; after this timeout a
# retry on another connection is more likely to be answered.
STORE_TIMEOUT_S = 0.8
# How long the store holds one watch call.  Each call costs money.  A lost
# answer is noticed only after this time and the slack; their sum must be less
# than the 2 s within which a configuration has to be in force.
WATCH_WAIT_S = 1.0
# Allowed delay of the answer to a watch; a slow store takes 0.2 s.
WATCH_SLACK_S = 0.6
# Shorter for the owner's watches of jobs and workers: a store that loses its
# history may leave watches unanswered for 1.2 s, and until one is answered the
# owner starts nothing and hands out no VM.  This costs one process at most 13
# calls a second, of some 800 of all processes.
OWNER_WATCH_WAIT_S = 0.15
OWNER_WATCH_SLACK_S = 0.35
# The owner's slack grows with failures, so that an even slower store is heard.
# The slack of the other watches must not, because of the configuration's 2 s.
MAX_OWNER_WATCH_SLACK_S = 1.4
DEFAULT_WATCH = WatchTiming(
    wait=WATCH_WAIT_S, slack=WATCH_SLACK_S, max_slack=WATCH_SLACK_S
)
OWNER_WATCH = WatchTiming(
    wait=OWNER_WATCH_WAIT_S,
    slack=OWNER_WATCH_SLACK_S,
    max_slack=MAX_OWNER_WATCH_SLACK_S,
)
# Watches of a standby, and the interval at which they begin: its copy is at
# most 0.3 s old, and the three prefixes take at most 14 calls a second,
# however often records change.
STANDBY_WATCH = WatchTiming(
    wait=0.2,
    slack=OWNER_WATCH_SLACK_S,
    max_slack=MAX_OWNER_WATCH_SLACK_S,
)
STANDBY_INTERVAL_S = 0.22
# How long a new owner waits for the changes since its copy before it reads the
# prefix: a slow store takes 0.24 s.
STANDBY_UPDATE_TIMEOUT_S = 0.3
# Interval of the checks who is a standby, and how long a manager that is none
# any more keeps its copy: registrations come and go within seconds.
STANDBY_CHECK_INTERVAL_S = 0.1
STANDBY_RETENTION_S = 2.0
# Time after which an owner that is still loading hands the ownership over if a
# larger VM is registered.
MAX_LOADING_S = 1.0
# Shortest interval between such handovers of one process: the larger VM may be
# dead while its registration lasts for 3 s.
LOADING_HANDOVER_SPACING_S = 10.0
# Delay before a failed call to the store is retried.
STORE_RETRY_DELAY_S = 0.1
# Delay of a record that nothing waits for, so that it is batched with others.
# The users count an end as known 0.1 s after its report.
WRITE_DELAY_S = 0.06
# Time after which the next commit is sent while another one is in flight.  A
# healthy store answers in 4 to 6 ms, so one commit at a time suffices.  With a
# store 60 times slower this allows 50 commits of up to 15 records a second;
# one commit at a time reached 120 records a second.
COMMIT_SPACING_S = 0.02
# Limit of concurrent commits.  With 15 records each it allows 1,000 records a
# second at an answer time of 0.24 s; 272 workers caused up to 700.
MAX_COMMITS_IN_FLIGHT = 16
# Timeout of the first attempt of a commit, and the limit of later ones.  A
# slow store answers within 0.24 s and a lost answer should cost little; the
# longer timeouts of retries let an even slower store answer.
COMMIT_TIMEOUT_S = 0.4
MAX_COMMIT_TIMEOUT_S = 1.6
# Times that the store refuses a single record for its content until the record
# is given up: one odd answer ends nothing.
MAX_REFUSALS = 3
# Bytes of values per second that a commit's timeout allows for: 5 Mbit/s, the
# users' slowest link, in base64.
MIN_SEND_RATE = 460_000

# -- ownership -------------------------------------------------------------
# Length of the owner's lease while this process has no delays: the shortest
# that the store grants.  Nothing starts for so long after an owner is lost.
MIN_OWNER_LEASE_S = 1.0
# Limit of the length where processes stall or the store is slow: a longer
# lease would cost the jobs of a lost owner more than 3 s.
MAX_OWNER_LEASE_S = 3.0
# Seconds added to the lease for each second of recent delay: the renewal and
# the one before it may both be delayed.
LEASE_PER_DELAY = 2.0
# How long delays are remembered, and the shortest one that counts: the
# shortest lease allows for a shorter delay twice between renewals.
DELAY_RETENTION_S = 20.0
MIN_DELAY_S = 0.25
# Interval and timeout of renewals: the lease survives one renewal that does
# not arrive and any number of lost answers; a slow store takes 0.24 s.
OWNER_RENEWAL_INTERVAL_S = 0.25
RENEWAL_TIMEOUT_S = 0.4
# Interval and timeout of the probes while the store does not answer: with the
# retries of the other calls each manager is back within 0.4 s of its recovery.
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.25
# Limit of that timeout.  It grows only if the store answers other calls while
# it does not answer a probe in time, which shows that it is slow.
MAX_PROBE_TIMEOUT_S = 1.0
# Consecutive failed probes that count as an outage.  A store that drops single
# answers would otherwise have the calls in flight cancelled again and again.
PROBES_OF_OUTAGE = 2
# Silence of the store that counts as an outage: a watch is answered within a
# second, or 0.3 s later by a slow store.
STORE_OUTAGE_S = 1.5
# How long an owner that cannot reach the store goes on extending the workers'
# leases.  Together with the lease that covers outages of 8 s.  A longer limit
# would lengthen the time until the next owner can prove that runs are over.
EXTENSION_LIMIT_S = 4.0

# -- workers ---------------------------------------------------------------
# Lease on the runs of a worker: covers a change of owner (2 s) and two lost
# holds.  The tasks of a lost worker start elsewhere only after it expires.
WORKER_LEASE_S = 4.0
# How long a worker holds the call open until a run ends (long polling).  It
# determines how soon a silent worker is noticed.
HOLD_WAIT_S = 0.5
# Limit of a hold's timeout beyond that wait.  A busy worker or manager needs
# longer than the timeout of an order.  Leases are extended only after an
# answered hold, so with too short a timeout all leases on a reachable worker
# would expire.  A hold after an unanswered one, with the delay before it and
# its wait, still ends within the lease.
MAX_HOLD_TIMEOUT_S = 1.5
# Longest duration of a hold.
MAX_HOLD_S = HOLD_WAIT_S + MAX_HOLD_TIMEOUT_S
# Timeout of a hold beyond its wait, as a multiple of the last hold's delay.
HOLD_TIMEOUT_FACTOR = 2.0
# After a report with ended runs the next hold waits this long until the store
# has them: earlier, the worker would report the same ends again at once.
RECORD_WAIT_S = 0.2
# Time after which an unanswered start is given up if the worker answers holds:
# a stop makes sure that the run never begins, and its task starts elsewhere.
# The starts of lasting tasks are retried.
START_TIMEOUT_S = 1.5
# Timeout of an order to a worker.
ORDER_TIMEOUT_S = 0.5
# Delay before a failed order or hold is retried.
ORDER_RETRY_DELAY_S = 0.1
# Limit of the backoff between holds of a silent worker that runs nothing.
# Most of these are gone for good: their VM was moved or maintained.
MAX_HOLD_RETRY_DELAY_S = 1.0
# A worker without an answer for this long gets no new work.
FRESHNESS_S = 0.9
# An entry that is missing for longer counts as removed; the platform restores
# entries about two seconds after the end of an outage.
ENTRY_GRACE_S = 2.2
# How long after the stop time of a run its end may be reported when an earlier
# owner ordered the stop: a hold is answered after at most half a second.
STOP_MARGIN_S = 0.6
# Greenlets that send orders to one worker.
ORDER_SENDERS = 3
# Most greenlets that send stops to one worker, which takes 64 connections.
STOP_SENDERS = 32

# -- planning --------------------------------------------------------------
# Shortest interval between plans: a busy owner was woken 235 times a second,
# and each plan visits all waiting jobs.  A start waits about as long for its
# record in the store anyway.
PLAN_INTERVAL_S = 0.01
# Interval of the checks for runs to stop or release and for due repetitions.
CHECK_INTERVAL_S = 0.1

# -- admission -------------------------------------------------------------
# Polling interval while no step waits for an admission.
ADMISSION_INTERVAL_S = 0.05
# Delay before the admission service is called again after a failure.
ADMISSION_RETRY_DELAY_S = 0.2
# Timeout beyond the answer time from the configuration: the service answers
# the calls of one process in turn.
ADMISSION_SLACK_S = 1.0
# Tickets are not used in the last part of their validity.
TICKET_EXPIRY_MARGIN_S = 0.2
# Limit of workers in one call, as each one delays the answer.  The users'
# objective assumes one call with 30 workers for a step.
MAX_ADMISSION_WORKERS = 30

# -- VMs -------------------------------------------------------------------
# Interval of the decisions which VM is closed, vacated or maintained next.
VM_CONTROL_INTERVAL_S = 0.1
# Interval of reading the platform's list of VMs, during a wave and otherwise.
LIST_BUSY_INTERVAL_S = 0.4
LIST_INTERVAL_S = 2.0
# Greatest age of the store's confirmation when an order to a VM is sent.  No
# other process sends orders to that VM before its own order pause is over.
MAX_CONFIRMATION_AGE_S = 0.9
# Delay before an unanswered order is retried, and the number of attempts.
VM_ORDER_RETRY_DELAY_S = 0.3
VM_ORDER_ATTEMPTS = 10
# Interval of logging the sizes of pools.
SIZES_LOG_INTERVAL_S = 1.0
# Timeout of calls to the platform's VM interface.
VM_API_TIMEOUT_S = 1.0

# -- callers ---------------------------------------------------------------
# Time limit of a request without a deadline.
REQUEST_BUDGET_S = 2.0
# Share of the caller's deadline that may be spent on the request.
DEADLINE_SHARE = 0.6
# Retry-After of a refusal, and of one because the store is unreachable:
# callers retry at most four times, and most outages are longer, 4 to 9 s.
RETRY_AFTER_S = 1
RETRY_AFTER_OUTAGE_S = 2
# Silence of the store after which a process accepts no jobs: a watch is
# answered after a second, or 0.2 s later by a slow store.
MAX_STORE_SILENCE_S = 1.6
# Greatest age of the configuration that callers are answered by: longer than a
# healthy watch takes (1 s, 0.2 s more with a slow store), shorter than the 2 s
# within which a configuration has to be in force.
MAX_VIEW_AGE_S = 1.5

# Shortest interval between comparisons of the configuration with the store's.
# Callers with invented keys or paths make each manager compare at most 20
# times a second and 33 managers 660 times, where the store takes 1,200 write
# and 6,000 read calls.  A caller whose key was just added waits at most this
# much longer.
REVALIDATION_SPACING_S = 0.05

# -- relay -----------------------------------------------------------------
# Time that a request loses by waiting for the store before it is relayed.  A
# slow store answers within 0.24 s, and callers wait for 2 s.
RELAY_AFTER_S = 0.4
# Share of a shorter time limit that may be lost before the request is relayed.
RELAY_AFTER_SHARE = 0.5
# Shortest timeout of a store call of such a request: a slow store answers
# within 0.24 s.
MIN_RELAY_CALL_S = 0.25
# Time since the store last served this process, its last call having failed,
# after which requests are relayed at once.
RELAY_SILENCE_S = 0.6
# Limits of concurrent relayed requests that a manager serves and sends.
MAX_RELAYED_IN = 64
MAX_RELAYED_OUT = 32
# Limit of calls by peers that are open at the same time, each of which holds a
# thread, also while its request has not arrived, and a body.
MAX_RELAY_CALLS = 128
# Attempts of one request that are in flight at the same time.
MAX_RELAY_ATTEMPTS = 2
# How many managers of each hall serve relayed requests.
RELAY_TARGETS_PER_HALL = 2
# A peer answers this much earlier than the time it is given, so that its
# answer arrives in time.
RELAY_MARGIN_S = 0.05
# Longest wait for a peer's answer: it may lose 0.4 s on a store that fails it,
# and a slow store takes 0.24 s for each of two calls.
RELAY_ATTEMPT_TIMEOUT_S = 1.0
# How long a peer that failed is tried last.
RELAY_FAILURE_MEMORY_S = 1.0
# Peers that give no answer, none having served since, from which on this
# manager takes itself to be cut off from its peers, and the interval at which
# it then tries them again.
MIN_UNANSWERING_PEERS = 2
RELAY_TRIAL_INTERVAL_S = 1.0
# How long it is remembered that the store does not serve a peer: while it
# serves none, callers are refused at once.
RELAY_REFUSAL_MEMORY_S = 0.3
# Longest body that is relayed while no configuration is known, in bytes.
RELAY_BODY_BYTES = 262144
# Different rejections that are logged: a faulty peer chooses their texts.
MAX_RELAY_REJECTIONS = 100
# Interval of checking whether this manager serves relayed requests.
RELAY_CHECK_INTERVAL_S = 0.5
# Limit of Retry-After in an outage where requests are relayed: drawn from 1 s
# to this, so that the refused callers do not return in the same second.
MAX_RETRY_AFTER_OUTAGE_S = 3
# Part of the caller's deadline that Retry-After may take where requests are
# relayed: with a deadline of 3 s the caller can return twice.
RETRY_AFTER_SHARE = 2 / 3

# -- failures --------------------------------------------------------------
# Delay before a task of the process is restarted after an unexpected error: an
# owner's lease of a second allows for it twice.
TASK_RESTART_DELAY_S = 0.25

# -- shutdown --------------------------------------------------------------
# How long new connections are accepted after SIGTERM: the load balancer needs
# two failed health checks, a second apart.
SHUTDOWN_DELAY_S = 2.6
# The process exits once no call was in flight for this long after the last
# accepted connection: a new connection is read within some milliseconds.
SHUTDOWN_IDLE_S = 0.1
# How long before the end of the grace time the process exits by itself.
SHUTDOWN_MARGIN_S = 0.5

# -- records ---------------------------------------------------------------
# Ended jobs are kept this much longer than the setting asks for.
KEEP_MARGIN_S = 30.0
COLLECT_INTERVAL_S = 5.0
# Intervals of publishing the numbers of waiting jobs if they changed, and if
# not: readers judge their age by the time of the last publication.
WAITING_INTERVAL_S = 0.7
WAITING_RENEWAL_S = 1.0
# Greatest age of a published number.  Callers accept one that is 2 s old;
# reading it from a slow store takes 0.24 s, and so does publishing it.
MAX_COUNT_AGE_S = 1.6
# The clocks of healthy VMs differ by less than this.
MAX_CLOCK_SKEW_S = 0.5
# How long a process caches a number that it counted itself: while nobody
# publishes, a burst of requests costs one read of a queue's records.
COUNT_CACHE_S = 0.5
# Cancellations of jobs that the store does not have are recorded too, since a
# submission may still be on its way.  Those of one period share a lease, and
# callers with invented identifiers leave at most this many in each.
CANCELLATION_LEASE_PERIOD_S = 60.0
MAX_CANCELLATIONS_PER_LEASE = 256
