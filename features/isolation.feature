# Guards against giving up harmless jobs for the crashes of others: beside six
# jobs that crashed the VMs of a pool, up to 17 of 46 others were given up in
# 38 s, each after five crashes.  The count alone ended a job, and a suspect that
# had waited started on any worker, so that the next crash showed nothing.
Feature: A job is given up only for crashes that no other job can have caused

  # These seeds reported a good job as failed, or started a crashing task once
  # too often.
  Scenario: Generated histories that gave up a job that could be done
    When the histories run again that gave up a job beside others that crash their workers
    Then no history starts a task three times more after three crashes, or gives up another job

  # Good jobs were shown as failed within seconds.
  Scenario: Beside jobs that crash the VMs of a small pool one after the other
    Given a site of 3 managers with 4 VMs for the jobs
    When 12 jobs crash a worker of the pool every 0.5 s beside jobs that last, start together and end
    Then no job that could be done is shown as failed within 15 s
    And no task that crashes its workers is started three times more after three crashes

  # Five crashes ended the job.
  Scenario: Crashes beside others end no job, however many
    Given 6 workers and a job of 1 task, beside which another one crashes its worker
    When 6 workers crash under both
    Then neither job has ended

  # The crashes stayed counted against neighbours when their cause was found.
  Scenario: Two crashes where nothing else ran end a job, and nothing counts against others any more
    Given 4 workers and a job of 1 task, beside which another one crashes its worker
    When 2 workers crash under both
    And the other one crashes a worker where it is alone, twice
    Then the job of the other one is given up
    And 0 crashes may still be caused by the first

  # Suspects started beside runs that had just begun, so that a crash did not
  # show which of them caused it.
  Scenario Outline: After <crashes> crashes a task beside <neighbour> starts <how>
    Given a task under which <crashes> workers have crashed, and one worker with <neighbour>
    When what waits is started
    Then the task is started: <how>

    Examples:
      | crashes | neighbour                   | how |
      | 3       | nothing                     | yes |
      | 3       | a task that has just begun  | no  |
      | 3       | a task at work for 2 s      | yes |
      | 3       | a suspect at work for 2 s   | no  |
      | 4       | a task that has just begun  | no  |
      | 1       | a task that has just begun  | yes |

  # The task never started, or started beside others: each worker of a busy pool
  # always has a run that has just begun.
  Scenario: A worker is reserved for a task that must start alone
    Given a task under which 3 workers have crashed, and 2 workers that tasks keep busy
    When the tasks end one after the other, and others wait
    Then the task starts alone on its worker, and the other worker stays busy

  # A worker stayed empty for a task that its workspace's bound kept waiting.
  Scenario: No worker is reserved for a task that its workspace may not start
    Given a task under which 3 workers have crashed, and 2 workers that tasks keep busy
    And its workspace is at its bound
    When the tasks end one after the other, and others wait, for 20 ends
    Then no worker is reserved, and both are busy

  # The last worker of a pool stayed empty for a task that could not start there,
  # as another task of its step ran on it: no other job started (LOST).
  Scenario Outline: No worker is reserved for a task that could not start there: <why>
    Given a task that must start alone and cannot start: <why>
    When others wait and what waits is planned
    Then no worker is reserved, and others start

    Examples:
      | why                                        |
      | each worker has a task of its step         |
      | the only worker has a task of its step     |
      | lasting tasks take the room of each worker |
      | no worker has its label                    |
      | no worker is admitted                      |
      | its gang is larger than the pool           |
      | its gang needs a worker for each task      |

  # The last worker of a pool was kept from all other jobs.
  Scenario Outline: The last worker that accepts work is open to all jobs: <why>
    Given a task under which 3 workers have crashed, and 2 workers that tasks keep busy
    When the first worker <why>, and others wait
    Then no worker is reserved, and others start on the second

    Examples:
      | why                 |
      | crashes             |
      | drains              |
      | is closed           |
      | is in an empty hall |

  # Suspects in a pool of one busy worker would wait without end.
  Scenario: A pool has a worker for tasks that must start alone, and one for all others
    Given a task under which 3 workers have crashed, and 1 workers that tasks keep busy
    Then the pool needs 2 VMs

  # Half of a pool stood empty for tasks that start 0.4 s apart.
  Scenario: No more workers are reserved than tasks can start in isolation in time
    Given 10 jobs under each of which 3 workers have crashed, and 20 busy workers
    When what waits is planned
    Then 5 workers are reserved

  # A task that crashes after some seconds had other runs beside it by then, so
  # that the crash did not count in isolation and the task started once more.
  Scenario: The last start that users bear keeps its worker until the task is cleared
    Given a task under which 4 workers have crashed, at an age of 20 s at the most, beside 1 full workers
    When it has worked alone for 15 s beside others that wait
    Then nothing else starts on its worker
    And others do once it has worked for 21 s

  # A worker was kept for up to 60 s from all jobs of a pool that had lost the
  # others: no other job started beside the one task (LOST).
  Scenario Outline: A run keeps no other job from the last worker that accepts work: <why>
    Given a task under which 4 workers have crashed, at an age of 20 s at the most, beside 1 full workers
    When the only worker that accepts other jobs <why>
    And it has worked alone for 1 s beside others that wait
    Then others start beside it
    And a crash of its worker then doesn't count in isolation

    Examples:
      | why                 |
      | crashes             |
      | drains              |
      | is closed           |
      | is in an empty hall |

  Scenario: A pool of one worker is not kept for a run, but for the time of a prompt crash
    Given a task under which 4 workers have crashed, at an age of 20 s at the most, beside 0 full workers
    When it has worked alone for 0.2 s beside others that wait
    Then nothing else starts on its worker
    And the pool needs a VM more than the 1 that it keeps
    And others do once it has worked for 0.5 s

  # The reason given was that nothing which is known holds the job.
  Scenario: What waits beside a worker that is kept is told why
    Given a task under which 4 workers have crashed, at an age of 20 s at the most, beside 1 full workers
    When it has worked alone for 2 s beside others that wait
    Then the others are told to have no worker with room, and the worker to be kept

  # Each task of one job started on a worker of its own, and crashed it.
  Scenario: Tasks of a job that must start alone start on one worker
    Given a job of 3 tasks under each of which 3 workers have crashed, and 4 workers
    When what waits is started
    Then its tasks are on one worker, and nothing else is

  # Gangs were given up after five crashes beside other jobs.
  Scenario: Members of a gang under which three workers crashed start where nothing else runs
    Given a gang of 6 tasks under which 3 workers have crashed, and 4 workers with a task each
    When these tasks have ended, and others wait
    Then the gang starts on workers of its own

  # A new owner began the attribution anew.
  Scenario: The runs that started last before crashes are known to the next owner
    Given 4 workers and a job of 1 task, beside which another one crashes its worker
    When 2 workers crash under both
    And a new owner reads their records
    Then the other one is known to have started last before the second crash

  # Each job of a bad release crashed three or four workers before it was given
  # up, though others that run the same had been found to crash theirs.
  Scenario Outline: A job that runs the same as one that was given up <how> starts <where>
    Given 3 workers, and a job that was given up <how>
    When one that runs <what> is handed in beside others
    Then it starts <where>

    Examples:
      | how                       | what             | where                |
      | for crashes               | the same         | where it is alone    |
      | for crashes               | something else   | beside others        |
      | for failures              | the same         | beside others        |

  # Each job of a bad release cost three or four workers.
  Scenario: It is given up by its first crash alone
    Given 3 workers, and a job that was given up for crashes
    When one that runs the same is handed in beside others
    And the worker crashes that it runs on
    Then it is given up, and its reason names one crash

  # A good job would start alone for as long as the crashing job is remembered.
  Scenario: A good end of one that runs the same, or work for longer, takes the suspicion away
    Given 3 workers, and a job that was given up for crashes
    When one that runs the same is handed in beside others
    And it ends well
    Then the next one that runs the same starts beside others

  # A new owner did not match jobs with crashing jobs of earlier owners.
  Scenario: The next owner knows whom a job resembles
    Given 3 workers, and a job that was given up for crashes
    When a new owner reads its record, and then one that runs the same comes
    Then that one is known to run the same
    And it is forgotten with the records of the first
