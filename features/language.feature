Feature: The operators' language

  Scenario: Every statement round-trips
    When 800 generated statements are printed and parsed again
    Then each is the same statement as before

  Scenario Outline: A mistake gets position, expectation and nearest word
    When the statement "<text>" is parsed
    Then the mistake is at <position> and names "<part>"

    Examples:
      | text                        | position | part              |
      | shw vms                     | 1        | did you mean SHOW |
      | SHOW vmss                   | 6        | did you mean VMS  |
      | drain vm                    | 9        | a name            |
      | SHOW VMS WHERE state 'away' | 22       | =, !=             |
      | SET PRIORITY OF ws TO high  | 23       | a number          |
      | START WAVE w OVER           | 18       | RACK              |

  Scenario: No input of any bytes ends the parsers
    When 1500 generated inputs go to every parser
    Then each is taken or refused by name

  Scenario Outline: Operators ask and order in the language
    Given a fleet of one hall with two entry VMs
    When an operator runs "<statement>"
    Then it ends with code <code> and says "<part>"

    Examples:
      | statement                                   | code | part              |
      | SHOW POOLS                                  | 0    | budget            |
      | COUNT VMS WHERE pool = alarms               | 0    | 2 found           |
      | SHOW VMS ORDER BY name DESC LIMIT 1         | 0    | north-calib-2     |
      | SHOW ENTRIES WHERE member = yes             | 0    | 2 found           |
      | SHOW VMS WHERE colour = red                 | 2    | no column         |
      | WHY POOL alarms                             | 0    | its budget is     |
      | WHY VM north-alarms-1                       | 0    | is serving        |
      | WHY VM nobody                               | 3    | not known         |
      | WHY REQUEST nobody                          | 3    | not known         |
      | PREVIEW START WAVE w OVER POOL alarms       | 0    | 2 rounds          |
      | DRAIN VM nobody                             | 3    | not in this hall  |
      | PAUSE WAVE nobody                           | 3    | does not exist    |
      | SET PRIORITY OF ws-1 TO 4                   | 0    | accepted          |
      | SET PRIORITY OF ws-1 TO 0                   | 3    | must be 1 to      |
      | SET PRIORITY OF ws-1 TO 5 AT REVISION 1     | 4    | is at revision    |
      | SET BUDGET OF nobody TO 1                   | 3    | not known         |
      | SHWO POOLS                                  | 2    | did you mean SHOW |

  Scenario: Why a request was refused
    Given a fleet of one hall with two entry VMs
    When a request is refused and an operator asks why
    Then the answer names the reason
