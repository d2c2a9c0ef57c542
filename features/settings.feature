Feature: Settings are checked, all faults at once

  Scenario Outline: A fault is named by file, section and key, with the mend
    Given a settings file in which [<section>] <key> is "<value>"
    When the settings are checked
    Then the fault names the file, "[<section>]", "<key>" and "<mend>"

    Examples:
      | section  | key              | value          | mend                      |
      | entry    | bodylimit        | 1MiB           | did you mean 'body_limit' |
      | entri    | listen           | 127.0.0.1:1    | did you mean 'entry'      |
      | entry    | connect_timeout  | 5              | a number and a unit       |
      | entry    | connect_timeout  | 5parsec        | 'parsec' is not one of    |
      | entry    | connect_timeout  | 5h             | from 0.001s to 60s        |
      | entry    | body_limit       | 999GiB         | write a size from         |
      | entry    | eject_failures   | many           | whole number              |
      | entry    | eject_cap        | 1.5            | from 0 to 1               |
      | entry    | listen           | example:80     | IP:PORT                   |
      | entry    | listen           | 127.0.0.1:99999 | port from 1 to 65535     |
      | steward  | peers            | 127.0.0.1      | IP:PORT, IP:PORT          |
      | steward  | lease_time       | 600ms          | clashes with              |
      | admin    | listen           | 127.0.0.1:7002 | clashes with              |
      | logs     | level            | loud           | one of debug, info        |
      | instance | hall             | two words      | one word                  |

  Scenario: All faults are named at once and no program starts
    Given a settings file with three faults
    When the settings are checked
    Then 3 faults are named and the exit code is 2
    And "rackvalve-entry" does not start on it
    And "rackvalve-steward" does not start on it
    And "rackvalve-admin" does not start on it

  Scenario: Every setting is explained from the table that defines it
    When the settings are explained
    Then every key of the catalog stands there with its unit and meaning

  Scenario: No bytes of a settings file end the reader
    When 300 generated settings files are checked
    Then each ends with settings or with faults
