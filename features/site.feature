Feature: The managers as separate processes, against the platform's stand-in

  Scenario: A job is accepted, runs, and is shown as completed
    Given a site of 2 managers
    When a job of 4 tasks and then 2 tasks is handed in
    Then it is shown as completed and each task ended well once
    And its state is the same at each manager
    And handing it in again starts nothing

  Scenario: Wrong calls get clear answers
    Given a site of 2 managers
    Then these calls are answered so
      | method | path                       | body                          | status |
      | GET    | /lookup/00000000000000ff   |                               | 410    |
      | DELETE | /lookup/00000000000000ff   |                               | 410    |
      | GET    | /nowhere/00000000000000ff  |                               | 404    |
      | POST   | /nowhere/00000000000000ff  | {"spec":"x","steps":[{}]}     | 404    |
      | GET    | /lookup/                   |                               | 200    |
      | POST   | /lookup/                   | {}                            | 405    |
      | PUT    | /lookup/00000000000000ff   | {}                            | 405    |
      | POST   | /lookup/00000000000000ff   | {}                            | 400    |
      | POST   | /lookup/00000000000000ff   | {"spec":"x","steps":[]}       | 400    |
      | POST   | /lookup/00000000000000ff   | not json                      | 400    |
      | POST   | /lookup/xyz                | {"spec":"x","steps":[{}]}     | 400    |
    And a body over the limit is refused with 413
    And the managers still answer

  Scenario: A cancelled job stops and starts nothing more
    Given a site of 2 managers
    When a job of 2 long tasks is handed in and runs
    And it is cancelled
    Then it is shown as cancelled and nothing of it runs

  Scenario Outline: The owner is lost in mid-run: each job completes, each task once
    Given a site of 3 managers
    When 12 jobs run and the owner is <fault>
    Then all of them are shown as completed and each task ended well once
    And no task ever ran twice at the same time

    Examples:
      | fault                  |
      | killed                 |
      | frozen for 4 seconds   |
      | robbed of its key      |
      | told to end            |

  Scenario Outline: The store fails for a while: nothing accepted is lost
    Given a site of 3 managers
    When 8 jobs run while the store is <fault> for 2 seconds
    Then all of them are shown as completed and each task ended well once
    And no task ever ran twice at the same time

    Examples:
      | fault  |
      | busy   |
      | silent |
      | slow   |
      | lost   |

  Scenario: A refusal while the store is busy is at once, and says when to come back
    Given a site of 2 managers
    When the store is busy
    Then a job is refused with 503 and Retry-After and never runs

  Scenario Outline: A worker fails: its tasks run elsewhere, once
    Given a site of 2 managers
    When 8 jobs run and a worker of theirs is <fault>
    Then all of them are shown as completed and each task ended well once
    And no task ever ran twice at the same time

    Examples:
      | fault   |
      | crashed |
      | dead    |
      | late    |

  Scenario: A worker that is cut off and runs on: its tasks wait for its lease
    Given a site of 2 managers
    When 8 jobs run and a worker of theirs is silent
    Then all of them are shown as completed
    And no task ever ran twice at the same time

  Scenario: A wave maintains every VM once, empty, no more at once than it bears
    Given a site of 2 managers
    When a wave over all VMs is ordered while jobs run
    Then the wave is shown as completed
    And each VM was maintained once and nothing ran on it
    And all of them are shown as completed and each task ended well once

  Scenario: A configuration is in force at once and a removed queue is gone
    Given a site of 2 managers
    When the queue rebuild is removed
    Then each manager comes to answer 404 for it
    And the queue lookup still takes jobs

  Scenario: Counters and histograms tell what happened
    Given a site of 2 managers
    When a job of 4 tasks and then 2 tasks is handed in
    Then it is shown as completed and each task ended well once
    And the owner's measures count its runs and its end

  # Keys were taken away 0.1 s after one another while entry VMs were cut off and
  # the owner was lost; a right has to be in force, or gone, within 3 s.
  Scenario: Keys come and go while the owner is killed and the store is slow
    Given a site of 3 managers whose callers show keys
    When jobs of two workspaces run while the owner is killed and the store is slow
    And the first workspace's keys are changed twice within 0.1 s
    Then each manager comes to answer 401 by the old keys and 200 by the new one
    And all of them are shown as completed
    And another workspace's key opens none of them
    And no key stands in what the managers logged, measured or recorded
