# Guards against endless retries of tasks that crash each worker that starts
# them: two such tasks were started every 0.8 s for 90 s, across a change of
# owner, and each crash ended some ten runs of other jobs.  A crashed worker
# reports nothing; its runs were released by proof, and a release queued the
# task without counting: only ends that a worker reported were counted.
Feature: A task that crashes each worker that starts it is given up

  Scenario: Generated histories keep the bound, whoever owns
    When 300 job histories run in which some tasks crash their workers
    Then no history starts a task three times more after three crashes, or gives up another job

  Scenario Outline: Beside other jobs, with real processes, <when>
    Given a site of 3 managers with VMs of their own for the jobs
    When 2 jobs crash each worker beside 12 others, <when>
    Then both are shown as failed, after 5 starts each at the most
    And all others are shown as completed and none starts again once its good end was taken note of

    Examples:
      | when                                  |
      | in a calm time                        |
      | while their owner is killed three times |

  Scenario: Beside other jobs, with real processes, where crashed workers keep their names
    Given a site of 3 managers whose crashed workers keep their names
    When 2 jobs crash each worker beside 12 others, in a calm time
    Then both are shown as failed, after 5 starts each at the most
    And all others are shown as completed and none starts again once its good end was taken note of

  Scenario Outline: <kind> that crash their workers, with a new owner after each second crash
    Given 8 workers and a job of <kind> that crash their workers
    When it is started until it is given up
    Then no task of it was started more than 5 times
    And its reason names the crashes

    Examples:
      | kind                         |
      | 2 plain tasks                |
      | 2 lasting tasks              |
      | 2 tasks that start together  |
      | 2 tasks that bear two runs   |
      | 2 tasks of each of two times |

  Scenario Outline: A worker that <how> counts against <whom>
    Given a task at work on a worker beside one under which a worker has crashed
    When their worker <how>
    Then crashes count against <whom>

    Examples:
      | how                                   | whom        |
      | crashes                               | both tasks  |
      | is lost with its VM                   | both tasks  |
      | ends after it said that it would      | no other    |
      | ends after it had served without an entry | no other |
      | ends by an order to its VM            | no other    |
      | is out of reach until its lease is over | the suspect |

  Scenario: From the second crash on a task has a worker for itself
    Given a task under which two workers have crashed, and 3 workers
    When it is started beside other tasks
    Then nothing else starts on its worker, and no other task of its job starts
    And after 3.1 s of work its worker takes other tasks, and nothing counts against it

  # A lasting task beside six jobs that crashed their VMs was given up by its
  # fifth crash, at ages of 1.4, 1.3, 0.7, 4.0 and 4.6 s.  Two of its runs had
  # worked longer than the earlier ones, but only more than 3 s cleared a task.
  Scenario Outline: A run that is known to have worked for longer than those before clears its task
    Given a task whose runs crashed their workers at an age of <before> s at the most
    When its next run has worked for <work> s when its worker is asked, which is heard <late> s later
    Then <count> crashes count against it

    Examples:
      | before | work | late | count |
      | 1.4    | 1.5  | 0    | 0     |
      | 1.4    | 1.3  | 0    | 2     |
      | 1.4    | 0.1  | 3    | 2     |
      | 0.1    | 0.9  | 0    | 2     |
      | 200    | 61   | 0    | 0     |

  Scenario: What counts against a task outlives its owner
    Given a task under which two workers have crashed, and 3 workers
    When it is started beside other tasks
    Then a new owner that reads its record keeps its worker for it too

  # A lasting task was given up since two crashes counted as in isolation, 4.1
  # and 4.5 s after its runs had begun: their workers accepted other tasks again
  # after 3 s, and crashed within 1.1 s of the last one that started.
  Scenario Outline: A crash <when> counts in isolation: <counts>
    Given a task under which two workers have crashed, and 3 workers
    When it is started beside other tasks
    And its worker crashes <when>
    Then it counts in isolation: <counts>

    Examples:
      | when                                | counts |
      | at once                             | yes    |
      | after 4 s alone                     | yes    |
      | after another task has come there   | no     |
