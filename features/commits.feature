Feature: An owner's records reach the store in commits side by side

  Scenario: No interleaving of two owners' commits loses or reverts a record
    When all interleavings of commits with 1 lost answer are explored
    Then no violation is found in more than 50000 interleavings

  Scenario Outline: Each condition of a commit is needed
    When the interleavings of commits without the condition on the <key> are explored
    Then it is found that "<violation>"

    Examples:
      | key       | violation                 |
      | record    | a record went back        |
      | ownership | the only owner is deposed |

  # When several pools turn at once, 272 workers make 300 to 700 records a
  # second, and a slow store answers after 0.24 s.  By Little's law a rate of 500
  # needs 120 records in flight; one commit of 29 records at a time carries 120 a
  # second.
  Scenario Outline: A turn's records do not wait for a slow store
    Given a store that answers after <answer> ms
    When a turn of 3 seconds marks 500 records a second
    Then 99 of 100 records are in the store within <wait> ms
    And one commit at a time takes <longer> ms or more for them

    Examples:
      | answer | wait | longer |
      | 5      | 30   | 5      |
      | 60     | 110  | 110    |
      | 240    | 300  | 8000   |

  Scenario: A store that is well gets no more calls than by one commit at a time
    Given a store that answers after 5 ms
    When a turn of 3 seconds marks 200 records a second
    Then it gets no more calls than by one commit at a time

  Scenario: Records wait for one try while the store gives no answers
    Given a store that answers no call
    When 200 records are marked
    Then one commit is under way

  Scenario: A store that resets connections is not asked without a pause
    Given a writer whose calls to the store are all reset at once
    When it has 20 records to write for 0.5 seconds
    Then the store was called 6 times at the most

  Scenario: A record in a commit under way is not sent again beside it
    Given a record that is being written
    When the same record is marked again beside another one
    Then the next commit has only the other one
    And the record's newer form is sent once the first is in the store

  Scenario: A lost answer holds up only the records of its own commit
    Given a writer whose first commit gets no answer
    When it writes 2 records, one after the other
    Then the second is in the store before the first
    And the first is written once, by a second try
    And each is counted as stored once it is in the store itself

  Scenario: A new owner takes the revisions that it does not know from the store
    Given a record that an earlier owner has left unread
    When a writer writes it
    Then it is in the store after one conflict and the owner is not deposed

  Scenario: A deposed owner writes nothing and learns of it
    Given a writer whose ownership another process has taken
    When a writer writes it
    Then nothing is in the store and the owner is deposed

  Scenario: A commit is tried on through an outage of any length
    Given a writer whose calls to the store are all reset at once
    When its commit is tried for the 5000th time
    Then it waits as long as any try for its answer
