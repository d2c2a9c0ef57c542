# Entries can be written by others.  One invalid address stopped every owner in turn:
# the exception in its first call ended the task that held the worker.
Feature: An entry of another writer names no worker to use

  Scenario Outline: What names no worker is refused
    Given a worker's entry whose <field> is <value>
    Then it is refused

    Examples:
      | field    | value               |
      | addr     | "127.0.0.1:99999"   |
      | addr     | "127.0.0.1:0"       |
      | addr     | "a..b:80"           |
      | addr     | "127.0.0.1\\n:80"   |
      | addr     | 7                   |
      | addr     | null                |
      | service  | ""                  |
      | service  | null                |
      | state    | "asleep"            |
      | state    | ""                  |
      | capacity | {"cpu": -1}         |
      | capacity | "much"              |
      | labels   | {"rack": "r"}       |

  Scenario: A worker whose entry turns unreadable gets no work, and runs on
    Given a worker with a good entry that has just answered
    When its entry turns unreadable
    Then it takes no work, and its incarnation is not over
    When its entry is good again
    Then it takes work

  # One entry ended every owner's task in turn, and no job started while it stood:
  # the decoder gives up on deep documents with an error that nobody caught.
  Scenario Outline: An odd entry costs no other one: <what>, <where>
    Given a worker with a good entry that has just answered
    When another writer leaves an entry <where>, before a good one: <what>
    Then the good one is applied, and the odd one names no worker to use

    Examples:
      | what                        | where               |
      | a list 20000 deep           | under a new name    |
      | a list 20000 deep           | under its name      |
      | a list 20000 deep           | under no name       |
      | an object 20000 deep        | under a new name    |
      | numbers of 400 digits       | under a new name    |
      | a number beyond floats      | under its name      |
      | a port of 99999             | under its name      |
      | text that is no Unicode     | under no name       |
      | an error that is unexpected | under its name      |

  Scenario: Jobs start beside odd entries, and no owner ends
    Given a site of 3 managers, with odd entries among those of its workers
    When 4 jobs are submitted there, and the owner is killed between them
    Then all of them are completed, and no task of a manager has failed

  # A manager kept the key of each such entry for as long as it was the owner.
  Scenario: An unreadable entry that is removed is forgotten
    Given a worker with a good entry that has just answered
    When its entry turns unreadable, and is removed
    Then no entry is kept as unreadable
    When its entry turns unreadable, and is gone when all are read
    Then no entry is kept as unreadable

  Scenario: A call to what is no address has no answer
    When "a..b" port 80 and "127.0.0.1" port 99999 are called
    Then neither call was answered or sent
