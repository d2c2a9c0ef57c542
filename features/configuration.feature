Feature: Configuration: validated, rising, in force everywhere, kept

  Background:
    Given a fleet of one hall with two entry VMs

  Scenario: A change is in force at every entry and the revision rises
    When the operator sets the priority of "ws-1" to 7
    Then the priority of "ws-1" is 7 at a higher revision
    And every entry reports that revision within 3 seconds

  Scenario: An invalid configuration is refused whole, with each fault
    When the operator puts a configuration with two faults
    Then the command is refused with 422 and names both faults
    And the revision has not changed

  Scenario: Of two changes on the same revision one is accepted
    When two operators change the configuration on the same revision
    Then one is accepted and the other gets a conflict with the revision

  Scenario: A write whose answer is lost is recognised, not repeated
    Given the platform loses the answer to the next write
    When the operator sets the priority of "ws-1" to 8
    Then the command was accepted
    And the revision has risen by one

  Scenario: Requests go on through an outage of the platform
    Given the platform is down
    When a caller sends 20 requests to each entry
    Then all are served
    And a command fails and says that nothing changed

  Scenario: A VM that starts during an outage gets the configuration
    Given the platform is down
    When the second VM's programs are killed and started again
    Then the second VM serves again
    And it has the same revisions as before

  Scenario: A newer configuration is never replaced by an older one
    When documents of revisions 5, 3, 9 and 4 are offered to a keeper
    Then it took revisions 5 and 9
