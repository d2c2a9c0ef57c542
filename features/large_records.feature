# Guards against a job that is accepted and can't be kept: the progress of all
# its tasks was one value, which outgrew what the store takes, and from then on
# no task of any job started.
Feature: The record of a large job is written in parts that the store takes

  Scenario Outline: A job of <tasks> tasks, all of which <state>, is kept
    Given a job of <tasks> tasks, all of which <state>
    When its record is encoded
    Then it has <values> values, which one commit takes
    And a new owner reads the same job from it

    Examples:
      | tasks | state              | values |
      | 16    | run                | 1      |
      | 2048  | run                | 1      |
      | 2049  | run                | 1      |
      | 8192  | run                | 1      |
      | 10000 | run                | 15     |
      | 20000 | run                | 15     |
      | 32768 | run                | 15     |
      | 20000 | are done           | 1      |
      | 32768 | are done           | 15     |
      | 16    | have long texts    | 2      |
      | 4096  | have long texts    | 15     |

  Scenario: Only what has changed is written again
    Given a job of 20000 tasks, all of which run
    When its record is encoded
    And its task number 12345 is done
    And its record is encoded again
    Then it has the head and the part of that task
    And a new owner reads the same job from all of it

  Scenario: A large record of an earlier release is read, and written in parts
    Given a job of 10000 tasks, all of which run
    When an earlier release has written its record
    Then a new owner reads the same job from it
    And its next record has all parts

  # Its owner would start all tasks anew.
  Scenario: An earlier release shows a job whose record is in parts, and runs none of it
    Given a job of 10000 tasks, all of which run
    When its record is encoded
    Then an earlier release reads its phase, and no tasks

  # An owner of an earlier release took the ends of the runs of such a job, and
  # lost them: tasks that were done ran again.
  Scenario Outline: An earlier release reads all tasks of a job of <tasks> that fits in a value
    Given a job of <tasks> tasks, all of which run
    When its record is encoded
    Then an earlier release reads its phase, and all of its tasks

    Examples:
      | tasks |
      | 2049  |
      | 8192  |

  Scenario: A record in parts goes in a commit of its own
    Given 20 records and one in parts that wait to be written
    When the commits are taken one after the other
    Then no commit has more entries than the store takes, and all are written

  Scenario: All parts of a job's record are removed with it
    Given a job of 20000 tasks, all of which run
    When its record is encoded
    Then the keys that are removed with it are those that were written

  # 20,000 tasks on five workers: each report compared each run with all others,
  # which took 9 s, and one plan took 0.8 s.
  Scenario: The work for one report, record and plan does not grow with the square of a job
    Given a job of 20000 tasks, half of which run
    When their speeds are compared
    Then each task was looked at a few times only

  Scenario: A plan starts a thousand runs at the most, and goes on
    Given a job of 2500 tasks that wait
    When it is planned 3 times
    Then 1000, 1000 and 500 runs were planned

  # Its first report had as many ends as fit, so that it was not known which runs
  # had never started, and later ones were not used for that: they stood for good.
  Scenario: A worker has more ends for a new owner than one report lists
    Given a new owner that inherits a run which its worker never got
    When the worker's first report lists 500 ends, and the second none
    Then the run's task waits for another run

  # A greenlet and a connection for each of 20,000 stops kept the owner from all
  # else for 30 s.
  Scenario: The end of a job stops thousands of runs a few at a time
    Given a worker that takes 0.01 s to answer a stop
    When 500 runs are stopped there
    Then all stops were sent, and 32 at the most at a time

  Scenario Outline: A large job runs to its end while its owner ends, its record in <form>
    Given a site of 2 managers that take values of <limit> at the most
    When a job of 2100 short tasks runs and the owner ends
    Then it is shown as completed and each of its tasks ended well once
    And its record was in <form>

    Examples:
      | limit | form      |
      | 1MiB  | one value |
      | 64KiB | parts     |
