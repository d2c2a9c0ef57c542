Feature: Under faults: at most once, whole answers, honest refusals

  Scenario: Freezes, cuts, outages and broken answers break no promise
    Given an own fleet of two halls with three entry VMs
    When callers send while each fault but kills is injected
    Then no keyed request ran twice
    And no refused request ran
    And no answer was mixed up or passed off as whole
    And no target ran more jobs than it has slots

  Scenario: Kills of entries, stewards and targets break no promise
    Given an own fleet of two halls with three entry VMs
    When callers send while each fault, kills included, is injected
    Then no keyed request ran twice
    And no refused request ran
    And no answer was mixed up or passed off as whole

  Scenario: A naive pass-through breaks them
    Given an own fleet with a naive pass-through in place of the entries
    When callers send while answers break and targets fail
    Then a keyed request ran twice

  Scenario Outline: A broken answer is never passed off as whole
    Given an own fleet of one hall with two entry VMs
    And every target answers with the fault "<fault>"
    When a caller sends a keyed request
    Then the outcome is "unknown"
    And it ran at most once

    Examples:
      | fault    |
      | truncate |
      | reset    |
      | garbage  |
      | overlong |
      | mismatch |

  Scenario: A large answer that breaks off is not completed
    Given an own fleet of one hall with two entry VMs
    And every target answers with the fault "truncate"
    When a caller asks for an answer of 3000000 bytes that breaks off
    Then the caller sees that it is not whole

  Scenario: A target that does not answer gives unknown at the deadline
    Given an own fleet of one hall with two entry VMs
    And every target answers with the fault "late"
    When a caller sends a keyed request with a deadline of 500 ms
    Then the outcome is "unknown"
    And its answer came within 2 seconds

  Scenario: A repeatable request goes to another target
    Given an own fleet of one hall with two entry VMs
    And one target of the pool answers with the fault "reset"
    When a caller sends 20 requests to each entry
    Then all are served

  Scenario: A caller that goes away frees its place in the queue
    Given an own fleet of one hall with two entry VMs
    And all slots of the pool are taken for 2 seconds
    When 50 callers send and go away at once
    Then the entries' queues are empty within 1 second

  Scenario: The same key sent to two entries at once runs once
    Given an own fleet of one hall with two entry VMs
    When 20 keyed requests are each sent to both entries at once
    Then each ran once and was served once
