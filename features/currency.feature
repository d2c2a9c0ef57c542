Feature: Callers are answered by the newest configuration, also without a watch

  Scenario: A fresh view is trusted for a queue that is known
    Given a process whose view was confirmed 1.0 s ago
    When 1 caller asks for the queue that is known
    Then it is answered 410 and the store was not asked for the configuration

  Scenario: An old view is compared once, however many callers wait
    Given a process whose view was confirmed 3.0 s ago
    When 20 callers ask for the queue that is known
    Then all are answered 410 and the revisions were compared once

  Scenario: A queue that was removed while the watch is stuck is not served
    Given a process whose view was confirmed 3.0 s ago
    And a newer configuration without the queue in the store
    When 1 caller asks for the queue that is known
    Then it is answered 404

  Scenario: A queue that was just added is found though the view is fresh
    Given a process whose view was confirmed 1.0 s ago
    And a newer configuration with another queue in the store
    When 1 caller asks for the other queue
    Then it is answered 410

  Scenario: Without the store an old view is not used, and nobody is held
    Given a process whose view was confirmed 3.0 s ago
    And a store that has been silent for 3.0 s
    When 1 caller asks for the queue that is known
    Then it is answered 503 at once, and told to come back after 2 seconds

  Scenario: A queue is the one with the longest prefix, among thousands
    Given a configuration of 3000 queues with prefixes within each other
    Then each path leads to the queue with the longest prefix of it
