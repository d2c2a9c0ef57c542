Feature: Waves, moves and drains within budgets

  Scenario: Thousands of histories keep every budget and lose no VM
    When 1500 generated fleet histories run with the planner
    Then no budget was broken and every VM is in one pool

  Scenario: A rack at a time breaks budgets
    When generated fleet histories run rack by rack
    Then a budget was broken

  Scenario Outline: A wave takes as few rounds as the best there is
    Given a hall of <vms> VMs in one pool with a budget of <budget>
    When a wave over the pool is previewed
    Then it takes as few rounds as an exhaustive search finds
    And fewer than one VM at a time

    Examples:
      | vms | budget |
      | 4   | 2      |
      | 5   | 3      |
      | 6   | 1      |
      | 7   | 4      |

  Scenario: A budget that leaves no room is reported, not broken
    Given a hall of 3 VMs in one pool with a budget of 3
    When a wave over the pool is previewed
    Then all 3 VMs are reported as stuck

  Scenario: Failures during a wave shrink it
    Given a hall of 6 VMs in one pool with a budget of 4
    When 2 VMs become unhealthy and the wave steps
    Then only the unhealthy VMs leave

  Scenario: A rack that is lost during a wave leaves the budget intact
    Given a hall of 9 VMs in one pool with a budget of 3
    When a wave that is to survive a rack steps and any rack is lost
    Then the pool still has its budget
    And a wave that is not leaves less than the budget

  Scenario: Paused, resumed and abandoned
    Given a hall of 4 VMs in one pool with a budget of 2
    When a wave is ordered and paused
    Then no VM leaves
    When the wave is resumed
    Then 2 VMs leave
    When the wave is abandoned
    Then no further VM leaves, and those away come back

  Scenario: Ended waves do not pile up in the record
    Given a hall of 4 VMs in one pool with a budget of 0
    When 100 waves run one after another
    Then the record holds at most 22 waves

  Scenario: What an entry said whose VM is gone does not count
    Given a keeper with a report that finds a VM unhealthy
    When the entry's VM is gone from the list
    Then no VM counts as unhealthy

  Scenario: A wave under load loses no request and keeps the budget
    Given an own fleet of one hall with administration
    When a wave passes through the pool under load
    Then no answer was broken
    And every request was served
    And the pool never had fewer VMs serving than its budget

  Scenario: A wave goes on after kills, an outage and lost answers
    Given an own fleet of one hall with administration
    When a wave passes while stewards are killed and the platform fails
    Then the wave is done
    And the pool never had fewer VMs serving than its budget

  Scenario: A move under load: one pool at a time, no request lost
    Given an own fleet of one hall with administration
    When a VM moves to another pool under load
    Then no answer was broken
    And every request was served
    And the VM runs jobs of the new pool only

  Scenario: A drain waits for an entry that is frozen, and says for whom
    Given an own fleet of one hall with administration
    When an entry is frozen and a VM is drained
    Then the VM is not away and the status names the frozen entry
    When the frozen entry goes on
    Then the VM is away within 10 seconds

  Scenario: A drain does not wait for an entry whose VM is gone
    Given an own fleet of one hall with administration
    When an entry VM is gone from the platform's list and a VM is drained
    Then the VM is away within 10 seconds

  Scenario: A drain does not wait for an entry whose process has ended
    Given an own fleet of one hall with administration
    When an entry process is killed and a VM is drained
    Then the VM is away within 10 seconds

  Scenario: A leaving target gets no new request after seconds
    Given an own fleet of one hall with administration
    When a VM is drained under load
    Then its last request came within 3 seconds of the order
