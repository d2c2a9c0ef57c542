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
