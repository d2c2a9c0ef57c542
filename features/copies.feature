# When a hall with a quarter of all VMs was cut off for 5 s, its runs waited 4.4 s
# for their leases to expire, although their tasks take 0.6 s and their jobs can
# wait for 1.4 s.  Three of ten quick jobs allow two runs of a task.
Feature: What may run twice starts elsewhere once its worker is silent

  Scenario: A task that bears copies starts elsewhere before its lease is over
    Given 3 workers with room for 4 and a bound of 0 for north
    When a job of 2 tasks that bears copies runs, and its worker falls silent
    Then 2 copies start after 1.0 s on other workers, and no more of them

  Scenario: A task that bears none waits for the proof that its run is over
    Given 3 workers with room for 4 and a bound of 0 for north
    When a job of 2 tasks that bears no copies runs, and its worker falls silent
    Then nothing starts within 4.0 s

  Scenario: Whichever run ends first counts, and the other one is stopped
    Given 3 workers with room for 4 and a bound of 0 for north
    When a job of 1 tasks that bears copies runs, and its worker falls silent
    Then 1 copies start after 1.0 s on other workers, and no more of them
    When the copy ends well
    Then the job is completed and the first run is told to stop

  Scenario: A copy keeps to its workspace's bound
    Given 3 workers with room for 4 and a bound of 3 for north
    When a job of 2 tasks that bears copies runs, and its worker falls silent
    Then 1 copies start after 1.0 s on other workers, and no more of them

  Scenario: A new owner first asks the workers that it has not heard yet
    Given 3 workers with room for 4 and a bound of 0 for north
    When a new owner knows 2 runs that bear copies on a worker it has not heard
    Then nothing starts within 0.8 s
    And 2 copies start after 0.3 s on other workers, and no more of them
