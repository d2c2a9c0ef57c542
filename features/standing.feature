# Guards against stalled jobs without a logged reason: up to 40 accepted jobs had
# nothing running for 3 s and more while later ones started and VMs had room, and
# a closed pool, a silent worker and an unrecorded start looked the same in logs.
Feature: An owner says why a job stands still

  Scenario Outline: What keeps a job
    Given a job of <job> on 2 workers, and <blocker>
    When the owner looks for 3 s
    Then it says "<cause>" and that the workers are "<workers>"

    Examples:
      | job            | blocker                      | cause                                       | workers                          |
      | 1 small task   | the queue is taken away      | its queue is not in the configuration       |                                  |
      | 1 small task   | the store takes no record    | its start is not yet in the store           | taking: 2                        |
      | 1 small task   | no worker confirms a start   | its start was ordered and not confirmed     | taking: 2                        |
      | 1 small task   | a wave closes the workers    | no worker takes work                        | closed for a wave: 2             |
      | 1 small task   | the workers are surplus      | no worker takes work                        | closed as surplus: 2             |
      | 1 small task   | the workers fall silent      | no worker takes work                        | silent: 2                        |
      | 1 small task   | the workers were never heard | no worker takes work                        | not yet heard by this owner: 2   |
      | 1 small task   | the workers drain            | no worker takes work                        | draining: 2                      |
      | 1 small task   | the entries are gone         | no worker takes work                        | without entry: 2                 |
      | 1 small task   | the workers are over         | no worker takes work                        |                                  |
      | 1 small task   | its workspace is at a bound  | its workspace is at its bound               | taking: 2                        |
      | 1 large task   | the workers are half full    | no worker has room                          | taking: 2                        |
      | 1 small task   | no worker is admitted        | no worker with room is admitted             | taking: 2                        |
      | 3 large tasks at once | nothing else          | its step's tasks cannot all start at once   | taking: 2                        |
      | 1 small task   | its worker falls silent      | its workers do not answer                   | taking: 1, silent: 1             |
      | 1 small task   | nobody plans                 | nothing that is known holds it              | taking: 2                        |
      | 1 small task   | its task is forgotten        | none of its tasks waits or runs             | taking: 2                        |

  Scenario: A job that runs, or ran between two looks, does not stand
    Given a job of 1 small task on 2 workers, and nothing else
    When the owner looks for 3 s
    Then it says nothing
    When the run ends and the next one has not begun at the next look
    Then it says nothing

  Scenario: A job that is just being started does not stand
    Given a job of 1 small task on 2 workers, and a wave closes the workers
    When the workers are opened after 3 s, and the job is planned
    Then it says nothing

  Scenario: Each task of a job that lasts counts by itself
    Given a job of 2 lasting tasks on 2 workers, and its worker falls silent
    When the owner looks for 3 s
    Then it says "its workers do not answer" of 1 task, with its worker and the time to its proof

  Scenario: A flood is told in few lines
    Given a job of 1 small task on 2 workers, and a wave closes the workers
    And 30 more such jobs, of which 5 later ones have started
    When the owner looks for 3 s
    Then each second has one line for the pool, with 26 jobs and 5 that overtook
    And no look has told of more than 2 jobs, and none of them twice

  Scenario: A look judges so many jobs only
    Given a job of 1 small task on 2 workers, and a wave closes the workers
    And 600 more such jobs, of which 0 later ones have started
    When the owner looks for 3 s
    Then it has judged 500 jobs, and says that it left out 101

  Scenario: Lines and a measure tell of it
    Given a job of 1 small task on 2 workers, and a wave closes the workers
    When the owner's reporter looks for 3 s
    Then the lines pool.standing and job.standing name the reason, and the measure is 1
    And the measure is 0 once the owner has stopped

  Scenario Outline: The end of a run by proof says which proof
    Given a job of 1 small task on 2 workers, and its worker falls silent
    When <event>
    Then the owner says that 1 run is over, since "<proof>"

    Examples:
      | event                            | proof                   |
      | its lease ends                   | its lease is over       |
      | its VM is listed as off          | its VM is listed as off |
      | another life answers in its place | another life answers   |
