# Guards against one commit that stops all others: while a commit got no answer,
# as a large one on a slow link may not, no other commit was sent.
Feature: A commit that fails alone holds up no others

  Scenario: A commit gets no answers while the store answers other calls
    Given a writer whose commits of "large" get no answer
    When other records are written while other calls are answered
    Then they are in the store, and "large" is tried on

  # Workers kept the ends of all jobs, of which one report lists 500.
  Scenario: Ends of other jobs are acknowledged while one job's commit gets no answers
    Given a writer whose commits of "large" get no answer
    When other records are written while other calls are answered
    Then a worker with ends of other jobs may discard all of them
    And a worker with an end of "large" may discard the ones before it

  Scenario: A commit gets no answers and no other call is answered
    Given a writer whose commits of "large" get no answer
    When other records are written while no call is answered
    Then they wait for that commit

  Scenario Outline: A commit of <size> bytes has <seconds> s for its answer
    When a commit of <size> bytes is sent for the first time
    Then it has <seconds> s for its answer

    Examples:
      | size    | seconds |
      | 0       | 0.4     |
      | 2300000 | 5.4     |
