Feature: Logs are bounded, and writing them never waits

  Scenario: An event that floods is cut to its budget, the others are not
    Given a budget of 10 lines a second and 20 at once
    When 100 lines of one event and 5 of another are written within 1 second
    Then 30 lines of the one and 5 of the other were allowed
    And it is told once that 70 lines of the one were left out

  Scenario: Nobody reads: lines are kept up to a limit, then dropped whole
    Given an outlet whose reader has stopped
    When 2 MB of lines are written to it
    Then no write has waited and some lines were dropped
    And once the reader goes on, all that it gets are whole lines

  Scenario: The reader is gone for good
    Given an outlet whose reader is gone
    When 2 MB of lines are written to it
    Then no line is kept

  Scenario: A program that ends leaves nothing but its lines
    Given a manager that is told to end
    Then each line that it has written is an event
