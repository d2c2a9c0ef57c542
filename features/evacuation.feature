# No process read which halls the operator had asked to evacuate: tasks were
# started in such halls 3,735 times in a day.
Feature: Nothing is started in a hall that is evacuated

  Scenario: The halls that are evacuated follow what the operator has written
    Then these changes leave these halls evacuated
      | change                                | evacuated |
      | a and b are read                      | a b       |
      | a is asked                            | a b       |
      | a is taken back                       | b         |
      | a is asked and taken back             | b         |
      | b is taken back and asked             | b         |
      | only c is read                        | c         |
      | nothing is read                       |           |
      | one without a name is read            |           |

  Scenario: A planner starts nothing there, and starts again once it is taken back
    Given a pool of 2 workers in hall a and 1 in hall b, and a job of 6 tasks
    When hall a is evacuated and the job is planned
    Then all starts are in hall b
    When a worker comes in hall a and the job is planned
    Then all starts are in hall b
    When hall a is taken back and the job is planned
    Then a start is in hall a

  Scenario: Other VMs stand in for those of the hall
    Given 4 VMs of a pool in hall a, and spare ones in halls a and b
    When hall a is evacuated and work for 2 VMs waits
    Then only VMs of hall b are moved, and as many as the pool needs
    And no VM of hall a is given away

  Scenario: With real processes, while the owner changes
    Given a site of 3 managers
    When its only hall is evacuated, the owner is killed and 4 jobs are handed in
    Then no task starts for 3 s
    When the hall is taken back
    Then all of them are shown as completed
