# A store that lost its history left waiting watches unanswered for 1.2 s, while
# it answered all other calls within 5 ms.  The owner first saw 108 jobs that
# were accepted meanwhile 1.3 s later.
Feature: An owner sees what is new though a watch says nothing

  Scenario: A watch that says nothing is followed by a reading
    Given a store whose watches say nothing for 4 seconds
    When an owner follows its jobs and one is written after 0.2 seconds
    Then the owner has seen it before a watch has told of it
    And no job is told twice as new

  Scenario: A store that is slower than thought is not read again and again
    Given a store whose watches answer 0.5 seconds late
    When an owner follows its jobs for 4 seconds
    Then all items were read 2 times at the most

  Scenario: A store that refuses watches is not read instead
    Given a store that refuses watches at once
    When an owner follows its jobs for 1 seconds
    Then all items were read 1 times at the most

  # Guards against an older configuration that counts as current for good.
  Scenario Outline: A change that fails to be applied is neither lost nor confirmed
    Given a store with changes, and a reader that fails on the first <number> of them
    When a change is written and the reader runs on for <seconds> seconds
    Then the change is applied, and was confirmed by no answer before

    Examples:
      | number | seconds |
      | 1      | 1.5     |
      | 3      | 2.5     |

  # Guards against a view that counts as newer than it is.
  Scenario: An answer that is read late confirms what was true when it was sent
    Given a store with changes, whose answers are read 0.3 seconds late
    When the reader runs on for 1 seconds
    Then no answer has confirmed a later time than that of its sending

  # Guards against a configuration that is not applied because of a wave.
  Scenario: A document on which the view fails keeps no other one away
    Given a view that fails on the operator's wave
    When it reads the wave and, after it, a configuration
    Then it holds the configuration, and an error that names the wave is logged
