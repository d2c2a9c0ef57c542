Feature: Scheduling: shares, quick work quick, long work kept, honest refusals

  Scenario: Thousands of histories keep every rule
    When 1500 generated histories run on the pool scheduler
    Then no rule was broken

  Scenario Outline: The rules tell a naive scheduler from a right one
    When generated histories run on the <naive> version
    Then the rule "<rule>" was broken

    Examples:
      | naive     | rule                |
      | fifo      | reserved for quick  |
      | fifo      | quota               |
      | idle      | work conserving     |
      | forgetful | no job is lost      |

  Scenario: At saturation each workspace gets its paid share
    When 12 workspaces of 4 priorities saturate a pool, scheduled fairly
    Then the greatest error of a share is at most 0.05

  Scenario: First come, first served does not keep shares
    When 12 workspaces of 4 priorities saturate a pool, scheduled fifo
    Then the greatest error of a share is more than 0.05

  Scenario: Run times declared far off do not buy a greater share
    When one of 12 workspaces declares a hundredth of its run times
    Then the greatest error of a share is at most 0.05

  Scenario: Quick work starts at once while long work saturates the pool
    When long work saturates a pool and quick work arrives, scheduled fairly
    Then quick work waits less than a tenth of a long run
    And no long job was dropped

  Scenario: First come, first served makes quick work wait for long work
    When long work saturates a pool and quick work arrives, scheduled fifo
    Then quick work waits more than a tenth of a long run

  Scenario: Work that can never start is refused by name, not parked
    Given a pool in which a workspace has quota 0
    When the workspace submits a job
    Then it is refused for "quota-zero" without a time to come back

  Scenario: A job that cannot start before its deadline is refused at once
    Given a pool whose queue holds 100 seconds of work
    When a job with a deadline of 5 seconds is submitted
    Then it is refused for "deadline-too-short" with a time to come back

  Scenario: A deadline that passes in the queue ends the job
    Given a pool whose only slot is taken
    When a job with a deadline of 5 seconds is submitted and 6 seconds pass
    Then it ends for "deadline-passed" and never starts

  Scenario: A burst of cancellations leaves nothing behind
    Given a pool whose queue holds 20000 jobs
    When all of them are cancelled
    Then nothing waits and a new job starts as soon as a slot is free

  Scenario: A worker that fails everything is ejected, within the cap
    Given a pool of 10 targets of which 9 fail every job
    When 300 jobs run one after another
    Then at most 5 targets are ejected
    And the good target is never ejected

  Scenario: A target that returns starts slowly
    Given a pool whose only target was ejected and probed
    Then it may run 1 job, and more after each that goes well

  Scenario: A slow target gets less work
    Given a pool of 4 targets of which one takes 5 times as long
    When 400 jobs run one after another
    Then the slow target may run fewer jobs at once than the others

  Scenario: Retries are a bounded share of the load
    When 1000 first attempts all want a retry
    Then at most 110 retries are granted
