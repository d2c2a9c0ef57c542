Feature: Programs are killed, frozen, restarted and stopped

  Scenario Outline: A program is killed and started again
    Given an own fleet of one hall with two entry VMs
    When the <program> of the first VM is killed under load
    And the <program> of the first VM is started again
    Then the first VM serves again
    And no answer was broken

    Examples:
      | program |
      | steward |
      | entry   |

  Scenario: All programs are killed at once and started in reverse order
    Given an own fleet of one hall with two entry VMs
    When all programs are killed and started in reverse order
    Then the first VM serves again

  Scenario: A planned stop of an entry cuts nothing off
    Given an own fleet of one hall with two entry VMs
    When the first entry is told to stop under load
    Then it ends with code 0 and had cut off 0 requests
    And no answer was broken

  Scenario: An address that is taken by a running entry is not shared
    Given an own fleet of one hall with two entry VMs
    When a second process of the first entry is started
    Then it ends with code 1
    And the first VM serves again

  Scenario: Logs are JSON lines with a known event, VM and hall
    Given an own fleet of one hall with two entry VMs
    Then every log line is JSON with a known event, VM and hall

  Scenario: Metrics arrive at the statsd receiver
    Given an own fleet of one hall with two entry VMs
    When a caller sends 20 requests to each entry
    Then the statsd receiver counts at least 40 requests served
