# Queues ask for several times their mean in turns: a pool of 272 VMs' fleet
# went from 30 to 200 VMs' worth within 4 s, and needed a tenth of that in
# between for 4 to 5 s.  A maintenance wave over half of the fleet that may have
# 50 to 60 VMs away has 24 to 27 s for three rounds of 3 s.
Feature: Waves and sizes while the pools' demand comes in turns

  Scenario: A wave leaves spare VMs alone that a rise will need
    Given a pool of 3 VMs and 100 spare VMs
    And a wave over 90 of the spare VMs that bears 50 away in 27 seconds
    When 4 jobs for 1 VM come each 0.1 s for 0.5 s, and the wave begins
    Then enough of them are left for another 1.6 s of the rise

  Scenario: A wave uses the time between two turns to the full
    Given a pool of 3 VMs and 60 spare VMs
    And a wave over 40 of the spare VMs that bears 30 away in 27 seconds
    When no job comes, and the wave begins
    Then 30 VMs are maintained at once

  Scenario: A wave that can not wait any longer takes the spare VMs there are
    Given a pool of 3 VMs and 120 spare VMs
    And a wave over 110 of the spare VMs that bears 30 away in 10 seconds
    When 4 jobs for 1 VM come each 0.1 s for 0.5 s, and the wave begins
    Then 30 VMs are maintained at once

  # Each VM of such a pool waits for a move of 1.5 s and an upkeep of 2 s if
  # they leave one after the other: 10 of 20 were late after 26 s.
  Scenario: A pool of spread tasks gets places ahead of a wave over it
    Given a pool of 8 VMs and 20 spare VMs
    When a lasting step of 14 small tasks runs there, at most 2 on a worker
    And a wave over all VMs of the pool bears 8 away in 20 seconds
    Then 1 VM is closed, and 4 move to the pool for it and for the next 3

  Scenario: The first VMs of a turn are ordered at its first jobs
    Given a pool of 3 VMs and 160 spare VMs
    When a turn has begun 0.2 s ago with 5 jobs for 1 VM each 0.1 s
    Then VMs for 70 % of what will come in 1.6 s are on their way

  Scenario: Two jobs that come together by chance are no turn
    Given a pool of 3 VMs and 160 spare VMs
    When a turn has begun 0.2 s ago with 1 jobs for 1 VM each 0.1 s
    Then the pool is expected to need 4 VMs at the most

  # A turn asks for more than its pool holds for some seconds.  Jobs that could
  # not be in time any more came after all that could: of 250 the one that was
  # accepted first started last, 8 s later, and 71 to 277 later ones of its queue
  # went before, as the lines on standing jobs of four plays tell.
  Scenario: In a turn beyond its pool no job stands while later ones start
    Given a pool of 1 VM that bears 4 tasks at once, each of 1 s
    When a job of one task comes each 0.1 s for 12 s
    Then no job with nothing started stands for 3 s while a later one starts
