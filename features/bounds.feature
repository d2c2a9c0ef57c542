# Guards against a workspace that exceeds its bound: one had 730 GB running with
# 652 GB allowed.  Twenty workspaces, a few of them large, share 349 VMs of 32
# cores and 64 GB, and memory is the scarce resource.  Bounds are lowered far
# below the present usage and raised again while the owner changes.
Feature: A workspace has no more running than its bound, and its work goes on

  Scenario: The bound holds over all jobs, and other workspaces go on
    Given 3 workers with room for 4 and a bound of 5 for north
    When north and south each hand in 4 jobs of 2 tasks for 1
    Then 5 tasks of north and 7 tasks of south run

  Scenario: What is being stopped counts until it has ended
    Given 3 workers with room for 4 and a bound of 2 for north
    When north hands in 1 job of 2 tasks for 1, and then 1 more
    And the first job is cancelled
    Then a task of the second job starts for each of the first one's that ends

  Scenario: What a silent worker may still run counts until its lease is over
    Given 3 workers with room for 4 and a bound of 2 for north
    When north hands in 1 job of 2 tasks for 1, and then 1 more
    And the workers of the first job say nothing any more
    Then no task of the second job starts within 4.0 s, but after the lease

  Scenario: A new owner counts what the records name before it finds it
    Given 3 workers with room for 4 and a bound of 2 for north
    When an owner takes over whose records name 2 runs of north on a silent worker
    And north hands in 1 job of 2 tasks for 1 to the new owner
    Then no task of the new job starts until the inherited lease is over

  Scenario: A lowered bound stops nothing and starts nothing, a raised one starts
    Given 3 workers with room for 4 and a bound of 8 for north
    When north hands in 4 jobs of 2 tasks for 1
    And its bound becomes 2, and 1 task ends
    Then 7 tasks of north run and none is stopped
    When its bound becomes 9 and it hands in 2 more jobs
    Then 9 tasks of north run and none is stopped

  Scenario: A task that is larger than the bound starts alone
    Given 3 workers with room for 4 and a bound of 2 for north
    When north hands in 2 jobs of 1 task for 3
    Then 1 task of north runs

  Scenario: A gang starts whole within the bound or not at all
    Given 3 workers with room for 4 and a bound of 3 for north
    When north hands in a gang of 4 and a gang of 3
    Then the gang of 3 runs alone

  Scenario: Work that its bound holds back asks for no VM
    Given 3 workers with room for 4 and a bound of 4 for north
    When north hands in 40 jobs of 2 tasks for 1
    Then the pool is asked for 1.0 VMs

  Scenario: Two owners, late orders and cuts: workers never run more than the bound
    When 150 job histories run under a bound of 5 tasks
    Then no promise to callers was broken
    When up to 100 job histories run under a bound of 5 that owners do not know
    Then a promise to callers was broken

  Scenario Outline: Generated histories hold the bound, by a naive count
    When <count> histories are played <how>
    Then <result>

    Examples:
      | count | how                   | result                                |
      | 30    | with the bound        | no workspace ever has more than it    |
      | 30    | without the bound     | a workspace has more than its bound   |
