Feature: From a job's identifier to its cause, from log lines alone

  Scenario Outline: What became of a job, and why
    Given the log lines of <case>
    When the job is explained
    Then the verdict is "<verdict>"
    And a cause says "<cause>"
    And no cause says "<other>"

    Examples:
      | case                       | verdict        | cause                                                    | other           |
      | a job refused everywhere   | never accepted | vm-2 had lost the store since 1.5 s before: no answer    | vm-3            |
      | a task that always fails   | failed         | aa.0.0.1 failed 2 times on several workers: w1, w2       | ownership       |
      | a task that crashes        | failed         | 2 workers crashed under aa.0.0.0: w1, w3                 | w2              |
      | a task whose VM crashes    | failed         | not counted against the job: w1 on m-1: w4 on m-4        | w3              |
      | a cancelled job            | cancelled      | a caller asked vm-2 to cancel it                         | nothing         |
      | a job late by its worker   | completed      | vm-1: dependency.lost (worker w1, reason silent          | w9              |
      | a job late by a lost rack  | completed      | vm-1: rack r1 of hall h1 stopped answering at once: 3 of 5 workers, and with it w1 | r2 |
      | a job late by a restart    | completed      | vm-1: worker.restarted (worker w1@2000                   | w9              |
      | a job late by its owner    | completed      | vm-3: ownership.taken (fence 9)                          | asked for       |
      | a job late for want of room | completed     | pool p asked for 12.5 VMs and had 4                      | pool q          |
      | a job held by its bound    | completed      | workspace north was at its bound: 5 of 0 cpu, 90 of 96 MB | south          |
      | a job beyond its rate      | completed      | workspace north had sent more jobs than its rate         | at its bound    |
      | a caller without a right   | never accepted | with 401: key unknown by version 7                       | had lost        |
      | a job that stood still     | completed      | stood still for 1.6 s: its workers do not answer; workers w7; to be proved over in 2.5 s at the latest, by its lease | asked for |
      | a job that still stands    | accepted       | nothing happened for 8.0 s after job.taken               | has room        |
      | a job that never started   | accepted       | nothing happened for 8.0 s after job.taken               | dependency.lost |
      | another job                | no line        | give the lines of all VMs                                | vm-1            |

  Scenario: The command prints timeline, verdict and causes
    Given the log lines of a job late by its worker
    When the operator's command explains it from a file
    Then it ends with 0 and prints its verdict and its causes

  Scenario: The command says when it knows nothing of a job
    Given the log lines of another job
    When the operator's command explains it from a file
    Then it ends with 3

  Scenario Outline: What bound a day
    Given the log lines of <case>
    When the day is explained
    Then the job was late, mostly for "<cause>"

    Examples:
      | case                        | cause                 |
      | a job late by its worker    | lost worker           |
      | a job late by its owner     | change of owner       |
      | a job late for want of room | room in the pool      |
      | a job that stood still      | its workers do not answer |

  Scenario: A job that kept its objective is not late
    Given the log lines of a job in time
    When the day is explained
    Then no job was late

  Scenario: The command prints windows, sums and sizes
    Given the log lines of a job late for want of room
    When the operator's command explains the day from a file
    Then it prints the window, the cause and the sizes

  Scenario: The command sums up what stood still
    Given the log lines of a job that stood still
    When the operator's command explains the day from a file
    Then it prints what stood still

  Scenario: Lines that are no events are counted, and lines before a brace passed over
    Given lines with text before the brace, broken ones and an empty one
    Then 1 event is read and 2 lines are counted as unread
