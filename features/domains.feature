Feature: Failure domains: the loss of a rack costs no more than its share

  # A VM of the spare pool is off and has no worker that states its rack.
  Scenario: The rack of a VM is known without its worker
    Given the platform lists VMs with these labels
      | vm | labels      | rack |
      | a  | ["x", "r1"] | r1   |
      | b  | ["x"]       |      |
      | c  | null        |      |
      | d  | ["x", 7]    |      |
    Then the list has their racks, and a rack that a worker stated is kept

  # Starts on dead workers whose last answers are recent wait for a lease.
  Scenario: A rack that falls silent gets no new runs, and its pool gets other VMs
    Given racks of 4x5 workers in 2 halls
    And 5 spare VMs in each, and work for all workers
    When r1 falls silent for 0.75 s
    Then r1 is suspected and 15 workers take work
    And 5 VMs have moved to the pool, none of them of r1
    And no run on r1 was released or stopped

  # Tasks there counted as ready for another 0.35 s, and an order elsewhere left
  # 4 away.
  Scenario: Lasting tasks of a suspected rack are away for orders elsewhere
    Given racks of 4x5 workers in 2 halls
    And a lasting step of which 2 may be away is ready on r0-0, r1-0, r1-1, r2-0
    When r1 falls silent for 0.75 s
    Then the task on r0-0 may not be stopped

  # The spare pool's VMs took work, and those that the pool took back did not.
  Scenario Outline: A pool takes back no leaving VM <where>
    Given racks of 4x5 workers in 2 halls <part>
    When r0-0, r1-0 leave, <event>, and the pool needs 1 VM more
    Then it keeps <kept>, and gets <count> other VMs

    Examples:
      | where                  | part             | event             | kept | count |
      | of a suspected rack    | with the part    | r0 is suspected   | r1-0 | 0     |
      | of suspected racks     | with the part    | both are suspected |     | 1     |
      | of an evacuated hall   | without the part | h0 is evacuated   | r1-0 | 0     |
      | of evacuated halls     | without the part | both are evacuated |     | 1     |

  # A rack of two workers stayed suspected while one of them answered.
  Scenario: Half of a rack that answers again ends the suspicion
    Given racks of 4x4 workers in 2 halls
    When r1 falls silent for 2 s
    And r1-0 answer again for 0.6 s
    Then r1 is suspected and 13 workers take work
    When r1-1 answer again for 0.6 s
    Then nothing is suspected and 14 workers take work

  # A switch that restarts brings its VMs back one after the other.
  Scenario: A worker of a suspected rack takes work as soon as it answers
    Given racks of 4x5 workers in 2 halls
    When r1 falls silent for 2 s
    And r1-0, r1-1 answer again for 0.6 s
    Then r1 is suspected and 17 workers take work
    When r1-2 answer again for 0.6 s
    Then nothing is suspected and 18 workers take work
    When r1 falls silent for 0.75 s
    Then r1 is suspected and 15 workers take work

  Scenario Outline: What is no loss of one rack suspects none
    Given racks of 4x5 workers in 2 halls
    When <what>
    Then nothing is suspected and <taking> workers take work

    Examples: Too few; the first signs of a cut-off owner; one after the other; a pause; planned ends
      | what                                  | taking |
      | r1-0, r1-1 falls silent for 1 s       | 18     |
      | r1, r2 falls silent for 1.5 s         | 10     |
      | r1 falls silent one by one            | 15     |
      | the owner is paused for 0.25 s        | 20     |
      | r1 drains, or is ordered away, and falls silent | 15 |

  Scenario: The part is off
    Given racks of 4x5 workers in 2 halls without the part
    When r1 falls silent for 0.75 s
    Then nothing is suspected and 17 workers take work

  # Its answers to the earlier owner are not known.
  Scenario: A new owner finds a silent rack by itself
    Given racks of 4x5 workers in 2 halls just taken over
    When r1 falls silent for 1.4 s
    Then r1 is suspected and 15 workers take work

  Scenario: The loss of several racks of a hall is the loss of the hall
    Given racks of 9x4 workers in 3 halls
    When h1 falls silent for 0.75 s
    Then h1, r1, r4, r7 is suspected and 24 workers take work

  # No worker can answer once the entries are gone with the workers.
  Scenario: A rack whose workers are gone is suspected for 10 s
    Given racks of 4x5 workers in 2 halls
    When r1 falls silent for 1 s
    And the entries of r1 go, and 9 s pass
    Then r1 is suspected and 15 workers take work
    When 1 s pass
    Then nothing is suspected and 15 workers take work

  # The record of the start is stored after the rack has failed.
  Scenario: A start planned on a suspected rack is not sent, and starts elsewhere
    Given racks of 4x5 workers in 2 halls
    When a start is planned on r1-0
    And r1 falls silent for 0.75 s
    Then the task starts in another rack

  # VMs taken in the order of the list were all of one rack.
  Scenario: Pools get VMs of the racks in which they have the fewest
    Given racks of 6, 3, 1 workers in 3 halls
    When the pool needs 5 VMs more
    Then it gets VMs of r2, r2, r1, r2, r1
    When h1 is suspected and the pool needs 2 VMs more
    Then it gets VMs of r2, r2

  Scenario: Pools give away empty VMs of the racks in which they have the most
    Given racks of 3, 6, 1 workers in 3 halls
    When r1-0, r1-1 are busy and the pool has 5 VMs too many
    Then it gives away VMs of r1, r1, r1, r0, r1

  # 24 tasks of which 6 may be away were on 24 VMs of two racks.
  Scenario Outline: No rack has more of a lasting step's tasks than the step may miss
    Given racks of <racks>x<size> workers in <halls> halls
    When a lasting step of <tasks> tasks of which <most> may be away starts
    Then no rack has more than <rack> of them and no hall more than <hall>
    When r1 fails and its tasks start again elsewhere
    Then no rack has more than <after> of them and no hall more than 99

    Examples: Racks with room; more than are compared for one task; too few racks; no limit
      | racks | size | halls | tasks | most | rack | hall | after |
      | 6     | 20   | 3     | 24    | 6    | 4    | 8    | 6     |
      | 20    | 8    | 4     | 24    | 2    | 2    | 6    | 2     |
      | 4     | 20   | 2     | 24    | 2    | 6    | 12   | 8     |
      | 3     | 5    | 3     | 9     | 0    | 3    | 3    | 5     |

  # The search for a worker ends once 16 were compared.
  Scenario: A large rack that has its share does not hide a small one
    Given racks of 2, 60 workers in 2 halls
    When tasks of a lasting step of which 2 may be away run on r0-0, r1-0, r1-1
    Then the next one always starts in r0

  # The search ended after 16 workers also if all of them were a last choice.
  Scenario: Workers that are a last choice do not hide one that is not
    Given racks of 4x10 workers in 2 halls
    When all workers but r3-9 crash repeatedly by themselves
    Then a task starts on r3-9 wherever the search begins, if 64 are compared
    And the search ends after 16 workers where the part is off

  # The whole pool was compared for each task where all racks were over their limits.
  Scenario: The search ends although all racks have too many of a step's tasks
    Given racks of 2x100 workers in 2 halls
    When tasks of a lasting step of which 1 may be away run on r0-0, r1-0
    Then 64 workers are compared for the next one

  Scenario: Other tasks are packed as before, and equal workers differ by rack
    Given racks of 3x4 workers in 3 halls
    When a job of 2 tasks of 1 core starts
    Then they are on 1 workers in 1 racks
    When a job of 3 tasks of 4 cores starts
    Then they are on 3 workers in 3 racks

  # Operators list the VMs of a wave rack by rack.
  Scenario Outline: A wave leaves a pool a VM in each rack while others can go first
    Given racks of <sizes> workers in 3 halls
    When a wave that bears 2 away maintains all of them rack by rack
    Then each was maintained once, the first two on racks <racks>

    Examples: No rack is emptied first; a rack with one VM goes last
      | sizes   | racks  |
      | 2, 2, 2 | r0, r1 |
      | 1, 3, 3 | r1, r1 |

  # A VM of an evacuated hall serves no one, and was kept for its rack's sake.
  Scenario: The last VM of a rack in an evacuated hall is not put behind others
    Given racks of 1, 3, 3 workers in 3 halls
    When h0 is evacuated, and VMs are put in order for a wave
    Then r0-0 is the first of them
