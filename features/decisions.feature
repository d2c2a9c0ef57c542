Feature: Decisions under faults: what is lost, out of reach or slow

  Scenario Outline: What ran on a VM that is no longer listed with it starts elsewhere at once
    Given a pool of 4 VMs, a job of 8 tasks on them, and 0 spare VMs
    And the platform's list has named all of them
    When the worker of one VM is silent and the VM is listed <how>
    Then its tasks run on the other VMs within 1 s

    Examples:
      | how                            |
      | as off                         |
      | as moved                       |
      | as up with another incarnation |
      | no more                        |
      | no more, and only records name it |

  # A VM that has just come back is still listed as off.
  Scenario: An incarnation that no list has named is over only once the list tells of it
    Given a pool of 4 VMs, a job of 8 tasks on them, and 0 spare VMs
    When the worker of one VM is silent and the VM is listed as off
    Then its tasks run on no other VM within 1.9 s
    And its tasks run on the other VMs within 0.3 s

  Scenario: A list that leaves a VM out once proves nothing
    Given a pool of 4 VMs, a job of 8 tasks on them, and 0 spare VMs
    And the platform's list has named all of them
    When the worker of one VM is silent and one list leaves that VM out
    Then its tasks run on no other VM within 1 s

  Scenario Outline: A list proves nothing of an incarnation <what>
    Given an incarnation "w1" on the VM "<vm>", last heard at 10 s
    When lists read at 20 s and 30 s name <listed>
    Then the incarnation is not proved over

    Examples:
      | what                         | vm  | listed                        |
      | whose VM nobody knows        |     | nothing on the VM m-2         |
      | that it names on another VM  | m-1 | the incarnation on the VM m-2 |

  Scenario: A VM that is only silent keeps its tasks until its lease is over
    Given a pool of 4 VMs, a job of 8 tasks on them, and 0 spare VMs
    When the worker of one VM is silent and the VM is listed as up
    Then its tasks run on no other VM within 1 s

  Scenario: A list that is older than a worker's last answer proves nothing
    Given a pool of 4 VMs, a job of 8 tasks on them, and 0 spare VMs
    And the platform's list has named all of them
    When the worker of one VM is silent and an old list says that it is off
    Then its tasks run on no other VM within 1 s

  Scenario: Others stand in for VMs that are out of reach
    Given a pool of 8 VMs, a job of 10 tasks on them, and 9 spare VMs
    When the workers of 3 VMs are silent for 2 s
    Then 4 VMs are ordered, for what runs, growth and a reserve

  Scenario: An owner that hears nobody moves nothing
    Given a pool of 8 VMs, a job of 10 tasks on them, and 9 spare VMs
    When the workers of 8 VMs are silent for 2 s
    Then 0 VMs are ordered, for what runs, growth and a reserve

  Scenario: No VM is ordered from a data hall that is cut off
    Given a pool of 8 VMs, a job of 10 tasks on them, and 9 spare VMs
    When 2 VMs of a hall with 4 of the spare VMs are silent for 2 s
    Then 2 VMs of other halls move to the pool

  Scenario Outline: Runs that a slow worker holds up start elsewhere
    Given a pool of 4 VMs, a job of <tasks> tasks on them, and 0 spare VMs
    When the runs of one worker get on at <speed> % of the others' speed
    Then <moved> of its 2 runs are stopped to start elsewhere

    Examples:
      | tasks | speed | moved |
      | 6     | 20    | 2     |
      | 6     | 80    | 0     |

  Scenario: Runs on a slow worker go on where no other worker has room
    Given a pool of 4 VMs, a job of 8 tasks on them, and 0 spare VMs
    When the runs of one worker get on at 20 % of the others' speed
    Then 0 of its 2 runs are stopped to start elsewhere

  Scenario: A wave that can wait closes nothing while pools are short
    Given a pool of 6 VMs and a wave over all of them that bears 4 away
    When pools are short
    Then no VM is closed while the wave can still be in time, but later

  Scenario: A new owner counts the VMs that the old one may have sent away
    Given a pool of 6 VMs and a wave over all of them that bears 2 away
    When a new owner takes over and 2 of them were ordered just before
    Then no other VM is maintained before those are back

  Scenario: Spare VMs are maintained as fast as the wave bears
    Given a pool of 4 VMs, a job of 2 tasks on them, and 9 spare VMs
    When a wave over the spare VMs bears 5 away and has much time
    Then 5 VMs are maintained at once
