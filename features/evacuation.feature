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

  # An outage of the store delays the record of a start for seconds.
  Scenario Outline: A start whose worker was closed before it was recorded, <switch>
    Given a pool of 2 workers in hall a and 1 in hall b, and a job of 6 tasks
    When it is planned with the part <switch>, and <event> before it is recorded
    Then <starts> starts are sent to the workers of hall a

    Examples:
      | switch | event                 | starts |
      | on     | hall a is evacuated   | 0      |
      | on     | its workers drain     | 0      |
      | on     | nothing happens       | 4      |
      | off    | hall a is evacuated   | 4      |
      | off    | its workers drain     | 4      |

  # Tasks that stay until a hall loses its VMs are unavailable all at once.
  Scenario Outline: Lasting tasks leave within their step's budget, where there is room
    Given 6 lasting tasks in hall a of which <most> may be away, and <there> workers in hall b
    When halls a and z are evacuated <how>
    Then at most <away> were away at a time, none waited for room, and <left> stay in hall a
    And the log tells this progress once a second, and rejects hall z once

    Examples:
      | there | most | how                      | away | left |
      | 6     | 2    | for 20 s                 | 2    | 0    |
      | 6     | 0    | for 20 s                 | 1    | 0    |
      | 2     | 9    | for 20 s                 | 2    | 4    |
      | 0     | 2    | for 20 s                 | 0    | 6    |
      | 6     | 2    | for 0.3 s                | 2    | 4    |
      | 6     | 9    | while a0 is out of reach | 5    | 1    |
      | 6     | 2    | beyond a lowered bound   | 0    | 6    |
      | 6     | 2    | with the part off        | 0    | 6    |
      | 6     | 2    | as a job is at its bound | 2    | 0    |

  # 16 tasks that fill 9/16 of a VM are a demand of 9 VMs, and need 16.
  Scenario: Pools grow by the VMs that the tasks of the hall need
    Given 16 VMs in hall a with a task each of 9 of 16 cores, and 30 spare VMs in hall b
    Then the pool gets 17 VMs when hall a is evacuated

  # A wave that begins elsewhere takes VMs from pools that lack those of the hall.
  Scenario: Waves begin with the VMs of the hall, within their limits
    Given a pool of 12 VMs and a wave over all of them that bears 2 away
    Then its first 2 orders are the last VMs, when these are evacuated

  # The shortage that the evacuation made paused the wave, though these VMs take
  # no work.
  Scenario Outline: A wave goes on in an evacuated hall while pools are short
    Given a pool of 12 VMs and a wave over all of them that bears 2 away
    Then only the last VMs are closed, when these are evacuated and <shortage>

    Examples:
      | shortage             |
      | the pool is short    |
      | spares are reserved  |

  # A pause of a job gave no hint of the hall that its workers are in.
  Scenario: An evacuation is named as the reason for what happens to a job
    Given the log lines of a job whose task leaves an evacuated hall
    When the job is explained
    Then a cause says "vm-1: aa.0.0.0 was moved off worker w1: its hall a is evacuated"
    And a cause says "hall a was evacuated: nothing was started there"
    And no cause says "hall b"
