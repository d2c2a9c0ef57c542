# A few workspaces send most of the jobs, each in turn at five times its mean
# rate.  A workspace beyond its guaranteed rate must delay only its own jobs.
Feature: When room is short, each workspace has the rate that it has paid for

  Scenario: One workspace floods a full pool, the others keep their rate
    Given a pool with room for 8 tasks and workspaces with these rates
      | workspace | rate | sends |
      | greedy    | 4    | 40    |
      | small     | 4    | 4     |
      | other     | 4    | 4     |
    When each has handed its jobs of 1 task in within a second
    Then of the 8 that start first 0 are of greedy beyond its rate
    And all jobs of small and other start before greedy's 33 beyond its rate

  Scenario: Whatever a workspace may not count on takes no right from it later
    Given a workspace with a rate of 2 a second
    When it sends 20 jobs in the first second and 2 in the next
    Then 3 jobs of the first and 2 of the next second are within its rate

  Scenario: A workspace that was idle may send a second's jobs at once, no more
    Given a workspace with a rate of 3 a second
    When it sends 10 jobs at once after 60 seconds of rest
    Then 3 of them are within its rate

  Scenario: Jobs that reach the owner out of order count by when they were sent
    Given a workspace with a rate of 2 a second
    When 6 jobs sent 0.5 s apart reach the owner in pairs that are swapped
    Then 6 of them are within its rate

  Scenario Outline: Odd rates
    Given a workspace with a rate of <rate> a second
    When it sends 5 jobs in the first second and 0 in the next
    Then <count> jobs of the first and 0 of the next second are within its rate

    Examples:
      | rate    | count |
      | 0       | 0     |
      | 0.25    | 1     |
      | 1000000 | 5     |

  Scenario: Nothing changes where room is enough, or where there are no workspaces
    Given a pool with room for 8 tasks and workspaces with these rates
      | workspace | rate | sends |
      | greedy    | 1    | 8     |
    When each has handed its jobs of 1 task in within a second
    Then all 8 of them run

  Scenario: A decision costs no more with 5000 workspaces than with 20
    Given directories of 20 and 5000 workspaces with 10 keys each
    Then a key, a name, a rate and a bound are found without looking at others
