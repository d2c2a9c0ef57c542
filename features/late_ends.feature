# Guards against failures that are not counted: an end counted only if its run
# was still known when it was reported.  A run on a silent worker is released
# once the worker's lease is over; a failure from before was reported later, was
# acknowledged, and did not count.
Feature: A failure that is told after its run was released counts once

  Scenario: The worker is back before the owner changes
    Given a task whose first run was on a worker that fell silent
    And whose lease was over, so that it runs elsewhere
    When the first worker answers again and tells that its run failed
    Then 1 failure counts against the task

  Scenario: The worker is back after it
    Given a task whose first run was on a worker that fell silent
    And whose lease was over, so that it runs elsewhere
    And the next owner has read its record
    When the first worker answers again and tells that its run failed
    Then 1 failure counts against the task

  Scenario: It is told to two owners
    Given a task whose first run was on a worker that fell silent
    And whose lease was over, so that it runs elsewhere
    When the first worker answers again and tells that its run failed
    And it tells so once more to the next owner
    Then 1 failure counts against the task

  # The members whose worker had crashed waited forever for the others to start
  # with them: the others were done.
  Scenario Outline: A gang that has ended well on one worker is done when another one crashes <when>
    Given a gang of 2 tasks at work on 2 workers
    When one worker crashes and the other tells the good end <when>
    Then the job is completed, and nothing of it starts again

    Examples:
      | when   |
      | before |
      | after  |
