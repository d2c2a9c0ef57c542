# The same cause as of tasks that crash their workers: an end was accounted for
# only where a report told it of a run that was still known.  A run on a silent
# worker is released once its lease is over; that it had failed before was told
# later, taken note of, and counted nowhere.  Found by reading; the first two
# scenarios failed without the mend.
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

  # The members whose worker had crashed waited for the others to start with
  # them, for good: those were done.
  Scenario Outline: A gang that has ended well on one worker is done when another one crashes <when>
    Given a gang of 2 tasks at work on 2 workers
    When one worker crashes and the other tells the good end <when>
    Then the job is completed, and nothing of it starts again

    Examples:
      | when   |
      | before |
      | after  |
