Feature: Operators' tokens and roles

  Scenario Outline: A token allows what its role may do, and no more
    Given a fleet whose configuration names operators of each role
    When "<who>" runs "<statement>"
    Then the API answers <status>

    Examples:
      | who        | statement                 | status |
      | nobody     | SHOW POOLS                | 401    |
      | guesser    | SHOW POOLS                | 401    |
      | expired    | SHOW POOLS                | 401    |
      | reader     | SHOW POOLS                | 200    |
      | reader     | DRAIN VM north-alarms-1   | 403    |
      | reader     | SET PRIORITY OF ws-1 TO 5 | 403    |
      | operator   | SET PRIORITY OF ws-1 TO 5 | 403    |
      | operator   | DRAIN VM nobody           | 422    |
      | chief      | SET PRIORITY OF ws-1 TO 5 | 200    |

  Scenario: A token that is not allowed changes nothing
    Given a fleet whose configuration names operators of each role
    When each token but the chief's tries to change priority and drain
    Then the configuration and the hall have the revisions of before

  Scenario: A token is rotated without a restart
    Given a fleet whose configuration names operators of each role
    When the chief gives the reader a new token
    Then the new token is taken and the old one is not

  Scenario: Every command is logged with who, what, revision and outcome
    Given a fleet whose configuration names operators of each role
    When "chief" runs "SET PRIORITY OF ws-1 TO 6"
    Then the audit log names "chief", the command, the revision and "accepted"
