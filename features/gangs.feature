# Guards against members of a gang that start from different checkpoints, or
# wait for one that never comes: after a crash a gang of three with checkpoints
# ended alone every 3 s and never worked together again.
Feature: The members of a gang start from one checkpoint, or not at all

  Scenario Outline: After <what>, all members start from the newest checkpoint
    Given a gang of 3 at work on 3 workers, with checkpoints at 40, 60 and 50 %
    When its run ends by <what>
    Then all members start from the checkpoint at <percent> %

    Examples:
      | what                                          | percent |
      | the crash of the first one's worker           | 60      |
      | the crash of the second one's worker          | 60      |
      | a failure of the second one                   | 60      |
      | a stop of the third one, which saves at 70 %  | 70      |
      | the crash of a worker, and one report is late | 70      |

  # A member whose worker crashed at once has told no checkpoint.
  Scenario Outline: Where <who> have told a checkpoint, all members start from <what>
    Given a gang of 3 at work on 3 workers, of which <who> have told a checkpoint
    When its run ends by the crash of the first one's worker
    Then all members start from <what>

    Examples:
      | who      | what           |
      | none     | the beginning  |
      | two      | a checkpoint   |

  # Such a number has no place in a record, and the next owner could not read it.
  Scenario Outline: Progress of <percent> is not recorded as it is told
    Given a gang of 3 that is being started on 3 workers
    When a member tells a checkpoint at <percent> %
    Then the next owner can read the record

    Examples:
      | percent |
      | nan     |
      | inf     |
      | -inf    |

  Scenario: A checkpoint of an earlier run does not win over a later one
    Given a gang of 3 at work on 3 workers, with checkpoints at 40, 60 and 50 %
    When its run ends by the crash of the first one's worker
    And the next run saves at 80 % on one worker and ends by a crash
    Then all members start from the checkpoint at 80 %

  Scenario: The record of the starts has the checkpoint, and the next owner starts from it
    Given a gang of 3 at work on 3 workers, with checkpoints at 40, 60 and 50 %
    When its run ends by the crash of the first one's worker
    And the owner is killed once the next run is recorded
    Then all members start from the checkpoint at 60 %

  Scenario: An owner that was killed between two ends knows the progress of the checkpoints
    Given a gang of 3 at work on 3 workers, with checkpoints at 40, 60 and 50 %
    When its run ends by the crash of the first one's worker
    And the owner is killed before the next run is planned
    Then all members start from the checkpoint at 60 %

  # Its member waited for the others until it ended alone, 3 s later.
  Scenario: An owner killed between two starts: the next one stops the member that started
    Given a gang of 3 at work on 3 workers, with checkpoints at 40, 60 and 50 %
    When its run ends by the crash of the first one's worker
    And the owner is killed when one member of the next run has started
    Then that member is stopped at once
    And all members start from the checkpoint at 60 %

  # The others waited until one of them ended alone.
  Scenario Outline: Where a worker <does> a start, the other members are stopped at once
    Given a gang of 3 that is being started on 3 workers
    When one worker <does> its start
    Then the other members are stopped at once
    And all members start again with one number

    Examples:
      | does             |
      | has no room for  |
      | is unwell for    |
      | has crashed at   |

  Scenario: A gang that works is left to its workers when a member ends
    Given a gang of 3 at work on 3 workers, with checkpoints at 40, 60 and 50 %
    When the worker of one member crashes
    Then no stop is ordered

  Scenario: What the first member saves does not change how the others start
    Given a gang of 3 that is being started on 3 workers
    When the first member tells a checkpoint before the others have started
    Then the orders of the others are as they were
