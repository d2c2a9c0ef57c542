Feature: The promises hold while processes, links, workers and the store fail

  Scenario Outline: A run of the soak breaks no promise
    When the soak runs with seed <seed> for <seconds> seconds, <shape>
    Then jobs were accepted, faults were applied, and no promise was broken

    Examples:
      | seed | seconds | shape  |
      | 1    | 8       | steady |
      | 6    | 12      | bursts |

  # Of a run of ours: workers that answered twice had an older report taken for a
  # newer one, and 100 runs were started beside others of the same tasks.
  Scenario: Silent workers, answers that come twice or end their connection
    When the soak runs with seed 8200 for 14 seconds, in bursts of these alone
    Then jobs were accepted, faults were applied, and no promise was broken

  # Guards against lasting tasks away since one worker's error ends each owner in turn.
  Scenario: Reports of one worker on which each owner fails
    When the soak runs with seed 601 for 20 seconds, in bursts of failing reports
    Then jobs were accepted, faults were applied, and no promise was broken

  # Guards against broken promises while pools grow and shrink and owners change.
  Scenario: Turns of demand beside owners in series and quick configurations
    When the soak runs with seed 801 for 16 seconds on the grown site
    Then jobs were accepted, faults were applied, and no promise was broken

  Scenario: The same seed draws the same faults, another seed others
    Then seed 7 draws the same 60 seconds of faults twice, and seed 8 others
    And over 50 seeds each kind of fault is drawn

  Scenario Outline: Each check of the soak can fail
    Given a run in which all promises were kept
    When <change>
    Then the soak reports "<promise>"

    Examples:
      | change                                      | promise                              |
      | a task is started beside its other run      | one run at a time                    |
      | a task is started after its end was known   | not again once done                  |
      | a task of the second step is started first  | steps in order                       |
      | a task is started that nobody handed in     | only what was handed in              |
      | an accepted job is last seen running        | what is accepted ends                |
      | a refused job's task is started             | refused did not run                  |
      | a job is seen queued after it was running   | states never go back                 |
      | a job is shown as completed without a task  | completed means every task is done   |
      | a call is cut off without a reason          | a planned stop cuts nothing off      |
      | a connection is refused just after its manager was told to end | a planned stop cuts nothing off |
      | a VM is moved with work on it               | VMs leave empty                      |
      | a task is started thrice after three crashes | what crashes workers is given up    |
      | a job that crashes workers is last seen running | what is accepted ends            |
      | a caller is told that none of 2 jobs waits   | what has not begun is told as waiting |
      | a manager tells of an error that nobody expected | no error is unexpected           |
      | members of a gang start from two checkpoints | a gang starts from one checkpoint   |
      | a member of a gang ends alone in a calm time | no member of a gang ends alone in a calm time |
      | three VMs of a wave of two are maintained at once | a wave takes no more VMs at once than it bears |

  # Of a users' run: accepted jobs had no run for seconds though nothing was
  # harmed and other jobs moved.  Runs were judged by what jobs came to at the
  # end, so no run of ours showed it.
  Scenario Outline: A job that stands still in a calm time is seen
    Given a job of one task, accepted at 10 s and started at <start> s
    And a fault from 2 s to <healed> s, and a worker that is <load>
    Then the soak reports <found> of standing still

    Examples:
      | start | healed | load | found   |
      | 13.5  | 5      | idle | a case  |
      | 13.5  | 5      | full | no case |
      | 12.9  | 5      | idle | no case |
      | 13.5  | 7      | idle | no case |
      | 15    | 7      | idle | a case  |

  # Of a users' run: more tasks of a lasting step were away at once than it
  # bears.  No run of ours had lasting jobs.
  Scenario Outline: An order that takes too much of a lasting step is seen
    Given a lasting job of 2 tasks at work at 10 s, of which 1 may be away
    And its first task <first> at 20 s
    When its second task <second> at <at> s
    Then the soak reports <found> of too much away

    Examples:
      | first       | second        | at   | found   |
      | is moving   | is moving     | 20   | a case  |
      | is stopped  | is stopped    | 21.5 | a case  |
      | is crashed  | is in upkeep  | 24   | no case |
      | is crashed  | is in upkeep  | 25   | a case  |
      | is moving   | is crashed    | 21   | no case |
      | is lapsed   | is stopped    | 21   | a case  |
      | is back     | is stopped    | 21   | no case |
      | is moving   | is held up    | 21   | no case |
      | is moving   | is silent     | 21   | no case |

  # Two whole runs side by side drew the same free port before either had bound
  # it, on two occasions: a daemon ended with "address is taken".
  Scenario: Runs of the tests side by side draw no port twice
    When another run draws 50 ports with the same luck
    Then none of them was drawn by the first run

  # In the users' runs tasks were started in halls that were to be evacuated.
  Scenario: A start in an evacuated hall is seen
    Then of starts at 9, 14.9, 15.1 and 20.1 s the soak reports that at 15.1 s, inside a hall to be evacuated from 10 s to 20 s

  # Guards against a soak that looks at no answer by an older or invalid configuration.
  Scenario Outline: An answer by another configuration is seen
    Given configurations that add "extra1" at 10 s and replace it by "extra2" at 20 s
    And an invalid one at 12 s that names "extra9"
    When <manager> is answered <status> for "<queue>" at <at> s
    And <other> is answered <later> for "<second>" at <after> s
    Then the soak reports of configurations "<promise>"

    Examples:
      | manager   | status | queue  | at   | other     | later | second | after | promise |
      | manager 1 | 404    | extra1 | 13.5 | manager 1 | 200   | extra1 | 14    | a confirmed configuration is in force in time |
      | manager 1 | 404    | extra1 | 12.5 | manager 1 | 200   | extra1 | 14    | nothing |
      | manager 1 | 200    | extra1 | 23.5 | manager 1 | 404    | extra1 | 24    | a confirmed configuration is in force in time |
      | manager 1 | 200    | extra2 | 21   | manager 1 | 200    | extra1 | 22    | a manager never goes back to an older configuration |
      | manager 1 | 200    | extra2 | 21   | manager 2 | 200    | extra1 | 22    | nothing |
      | manager 1 | 200    | extra9 | 15   | manager 1 | 200    | extra1 | 16    | no invalid configuration is taken |
      | manager 1 | 503    | extra1 | 15   | manager 1 | 200    | extra1 | 16    | an added queue is served |
      | manager 1 | 503    | extra2 | 22   | manager 1 | 200    | extra2 | 24    | nothing |
      | manager 3 | 503    | extra1 | 15   | manager 1 | 200    | extra1 | 16    | nothing |

  # Guards against a soak that excuses a lease by what another worker does.
  Scenario Outline: A lease that runs out beside another worker's fault is seen
    Given a lasting job of 2 tasks at work at 10 s, of which 1 may be away
    And a fault of <place> from 15 s to 21 s
    And its first task is lapsed at 20 s
    When its second task is lapsed at 20 s
    Then the soak reports <found> of too much away

    Examples:
      | place              | found   |
      | another worker     | a case  |
      | its own worker     | no case |
      | a manager          | no case |

  # Guards against a report of a version that a started manager cannot judge.
  Scenario Outline: An older version that is taken is seen, except as the first one
    Given configurations that add "extra1" at 10 s and replace it by "extra2" at 20 s
    And one with an older version at 12 s that names "extra9"
    And manager 1 was down from <began> s to <ended> s
    When manager <manager> is answered 200 for "extra9" at <at> s
    Then the soak reports of configurations "<promise>"

    Examples:
      | began | ended | manager | at   | promise |
      | 11.5  | 13    | 1       | 15   | nothing |
      | 11.5  | 13    | 2       | 15   | no invalid configuration is taken |
      | 11.5  | 13    | 1       | 23.5 | no invalid configuration is taken |
      | 5     | 6     | 1       | 15   | no invalid configuration is taken |

  # Guards against broken promises that are reported for stalls of the stand-ins.
  Scenario Outline: While the stand-ins stall, calls of all managers may be refused
    Given configurations that add "extra1" at 10 s and replace it by "extra2" at 20 s
    And the stand-ins stalled from 14.8 s to 16 s
    When manager 1 is answered <status> for "extra1" at <at> s
    Then the soak reports of configurations "<promise>"

    Examples:
      | status | at   | promise |
      | 503    | 15.5 | nothing |
      | 503    | 19.5 | nothing |
      | 503    | 14.5 | an added queue is served |
