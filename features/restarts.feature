# Guards against second runs of tasks that have ended, on workers that crash and
# start again at once under their names.  The owner kept its knowledge of a worker by
# name: a new incarnation was told to forget its ends up to the last number of the
# earlier one, before they were read (8 to 16 ends), and a run that it then did not
# list was taken to have been lost.
Feature: A worker that starts again under its name is another incarnation

  Scenario Outline: Tasks run once beside restarts, with real processes, <when>
    Given a site of 3 managers with 6 VMs for the jobs, <births> told
    When <jobs> jobs of 4 tasks of 0.4 s run while workers start again under their names, <when>
    Then no task was started again after its good end was acknowledged
    And no task had two runs at once
    And all of them are shown as completed

    Examples:
      | when                               | jobs | births    |
      | two of six every second            | 30   | births    |
      | all at one moment, twice           | 30   | births    |
      | two of six, the owner killed       | 30   | births    |
      | two of six, calls carried out late | 30   | births    |
      | all at one moment, twice           | 30   | no births |

  # A call that was left unanswered may be carried out by the next incarnation.  A
  # greater token, which that incarnation is sent first, prevents this.
  Scenario: Generated histories with restarts start no task again, or beside itself
    When 200 job histories run in which workers start again under their names
    Then no task starts after its acknowledged end, or beside another run

  Scenario Outline: Histories with restarts find it where there is no <part>
    When up to 100 job histories with restarts run without <part>
    Then a task starts after its acknowledged end, or beside another run

    Examples:
      | part   |
      | births |
      | raised |

  # Guards against an owner that deposes itself by a token that it has raised.
  Scenario: Two calls on their way with a token that was raised meanwhile
    Given an owner with two calls on their way, and a token that it raises meanwhile
    When the worker refuses both
    Then the owner is not deposed, and uses the raised token

  Scenario Outline: A refusal for a token that <whose> has shown
    Given an owner and a worker that refuses its token for one that <whose> has shown
    Then by that refusal the owner <does>

    Examples:
      | whose         | does           |
      | another owner | is deposed     |
      | it itself     | uses that one  |

  Scenario Outline: What becomes of a task whose worker has started again and <tells>
    Given a task that runs on a worker which has told 8 ends
    When the worker starts again and <tells>
    Then the task <outcome>
    And the earlier incarnation is forgotten

    Examples:
      | tells                         | outcome                                     |
      | does not name it              | waits, and a crash counts against it        |
      | lists it                      | runs there, and no crash counts against it  |
      | tells its good end as its 1st | is done, and no crash counts against it     |
      | tells that it was stopped     | waits, and no crash counts against it       |
      | drained before, names nothing | waits, and no crash counts against it       |

  Scenario: A run that was to be stopped is stopped where it is now
    Given a task that runs on a worker which has told 8 ends
    When it is to be stopped, and the worker starts again and lists it
    Then the later incarnation is told to stop it

  Scenario Outline: A record without a start time, and an incarnation that <tells>
    Given a new owner with a record of a run on a worker, without its start time
    When the worker's present incarnation <tells>
    Then the task <outcome>

    Examples:
      | tells                         | outcome                                     |
      | lists it                      | runs there, and no crash counts against it  |
      | does not name it              | waits, and no crash counts against it       |
      | tells its good end as its 1st | is done, and no crash counts against it     |

  Scenario: What is known of an incarnation is not known of the next
    Given a worker that is closed, suspected, slow, ordered away and 100 s ahead
    When it has started again and has told what it has
    Then it takes work as a worker that was never seen before

  Scenario: An entry alone ends no incarnation
    Given a task that runs on a worker which has told 8 ends
    When an entry names another start time of the worker, which still answers
    Then the task runs there, and no crash counts against it

  Scenario Outline: The platform's list and an incarnation that began <age> ago
    Given an incarnation that began <age> ago, after one that lists have named
    When a list is read right after its last answer and names no worker
    Then its incarnation is <proved>

    Examples:
      | age    | proved          |
      | 1 s    | not proved over |
      | 10 s   | proved over     |

  Scenario Outline: A start time that is <told>
    Given an entry and a list whose start time is <told>
    Then it is <taken> for a start time

    Examples:
      | told                 | taken     |
      | 1771263913116        | taken     |
      | left out             | not taken |
      | 0                    | not taken |
      | -5                   | not taken |
      | 1771263913116.5      | not taken |
      | "1771263913116"      | not taken |
      | null                 | not taken |
      | true                 | not taken |
      | 1e300                | not taken |

  Scenario: A name and a start time make an identity that no other incarnation has
    Then these incarnations are read from their identities as they were
      | name   | born | identity  |
      | i-1    | 17   | i-1@17    |
      | i-1    |      | i-1       |
      | i-1@17 |      | i-1@17@0  |
      | i@     | 4    | i@@4      |
      | i@x    |      | i@x@0     |

  # A call names a worker, and whichever incarnation has the name carries it out.  An
  # owner that did not know of the next incarnation had it start tasks meant for the
  # earlier one, and forget their ends before they were read.
  Scenario Outline: A call that is meant for an earlier incarnation is not carried out, <call>
    Given a worker that has answered a hold and an order, and then starts again
    When its next incarnation has a task that has ended, and is sent <call> meant for the one before
    Then the answer is that another incarnation is there
    And the next incarnation has started nothing and keeps its end

    Examples:
      | call                                  |
      | a start                               |
      | a stop                                |
      | a hold that lets it forget 8 ends     |
      | a start while all answers end their connection |

  # The tickets of an incarnation are not valid for the next one, and no others were
  # requested until they expired.
  Scenario: A step whose admitted worker has started again is asked about again
    Given a step whose only worker is admitted for a minute
    When the worker starts again
    Then it is asked whether the later incarnation may run the step, and it may

  Scenario: A record has start times beside the names that earlier releases use
    Given a job with runs on two incarnations of one worker and on one without a start time
    When its record is written and read
    Then the runs are on the same incarnations, and the record's runs have names alone
    And a record of an earlier release has incarnations without start times
