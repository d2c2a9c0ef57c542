# Demand comes in bursts: in a fleet of 272 VMs a pool's demand rose from 30 to
# 200 VMs within 4 s, and was a tenth of that for 4 to 5 s between bursts.  A
# maintenance wave over half of the fleet that may have 50 to 60 VMs away has 24
# to 27 s for three rounds of 3 s.
Feature: Waves and sizes while the pools' demand comes in bursts

  Scenario: A wave leaves spare VMs alone that a rise will need
    Given a pool of 3 VMs and 100 spare VMs
    And a wave over 90 of the spare VMs that bears 50 away in 27 seconds
    When 4 jobs for 1 VM come each 0.1 s for 0.5 s, and the wave begins
    Then enough of them are left for another 1.6 s of the rise

  Scenario: A wave uses the time between two bursts to the full
    Given a pool of 3 VMs and 60 spare VMs
    And a wave over 40 of the spare VMs that bears 30 away in 27 seconds
    When no job comes, and the wave begins
    Then 30 VMs are maintained at once

  Scenario: A wave that can not wait any longer takes the spare VMs there are
    Given a pool of 3 VMs and 120 spare VMs
    And a wave over 110 of the spare VMs that bears 30 away in 10 seconds
    When 4 jobs for 1 VM come each 0.1 s for 0.5 s, and the wave begins
    Then 30 VMs are maintained at once

  # If the VMs of such a pool leave one after the other, each waits for a move of
  # 1.5 s and maintenance of 2 s: 10 of 20 were late after 26 s.
  Scenario: A pool of spread tasks gets places ahead of a wave over it
    Given a pool of 8 VMs and 20 spare VMs
    When a lasting step of 14 small tasks runs there, at most 2 on a worker
    And a wave over all VMs of the pool bears 8 away in 20 seconds
    Then 1 VM is closed, and 4 move to the pool for it and for the next 3

  Scenario: The first VMs of a burst are ordered at its first jobs
    Given a pool of 3 VMs and 160 spare VMs
    When a burst has begun 0.2 s ago with 5 jobs for 1 VM each 0.1 s
    Then VMs for 70 % of what will come in 1.6 s are on their way

  Scenario: Two jobs that come together by chance are no burst
    Given a pool of 3 VMs and 160 spare VMs
    When a burst has begun 0.2 s ago with 1 jobs for 1 VM each 0.1 s
    Then the pool is expected to need 4 VMs at the most

  # A burst needs more than its pool holds for some seconds.  Jobs that were late
  # in any case came after all jobs that could be in time: of 250 jobs the first
  # one accepted started last, 8 s later, after 71 to 277 later ones of its queue.
  Scenario: In a burst beyond its pool no job starves while later ones start
    Given a pool of 1 VM that bears 4 tasks at once, each of 1 s
    When a job of one task comes each 0.1 s for 12 s
    Then no job with nothing started waits for 3 s while a later one starts
