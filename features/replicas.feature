# A new owner that works from a copy older than its fencing token would start tasks
# again that the owner before it has recorded as ended.
Feature: A standby's copy is used only as of the fencing token

  Scenario Outline: What a new owner loads holds all that was there at its token
    Given a standby's copy of 500 records
    When the store <fault> while 40 records change and a term begins
    Then the new owner loads what is there, <how>

    Examples:
      | fault                                 | how                       |
      | answers                               | from the copy, by 3 calls |
      | answers by halves                     | from the copy, by 6 calls |
      | loses its history                     | by reading                |
      | answers no watch                      | by reading, within 1.2 s  |
      | answers watches as of an earlier time | by reading                |

  # A copy ahead of the token counted as current, whatever the store answered.
  Scenario: A store that was replaced by an earlier state is read
    Given a standby's copy of 500 records
    When the store is replaced by an earlier state when the copy is ahead
    Then the new owner loads what is there, by reading

  # The time limit covered the headers only: a slow body held the owner up for 4 s.
  Scenario: An answer whose body does not arrive is given up in time
    Then a store that sends headers only is given up within 0.6 s

  Scenario: Calls of a standby do not grow with the number of changes
    Given a standby's copy of 500 records
    When 300 records a second change for 2.0 s
    Then the copy was at most 0.3 s old, by at most 15 calls a second

  Scenario: A manager that is no standby any more drops its copy
    Given a manager that is a standby
    When two larger ones register
    Then it still has a copy 1.9 s later and none 2.2 s later

  Scenario: Jobs go on at the standby after the owner is killed
    Given a site of 3 managers with standbys
    When jobs run and the owner is killed
    Then the next owner has used its copy of 3 prefixes
    And all of them are shown as completed and each task ended well once
    And no task ever ran twice at the same time
