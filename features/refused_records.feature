# Guards against one record that keeps all others from the store: a commit that
# the store refused for its content was taken for an outage and sent for good,
# and no run of any job was recorded, so none was ordered.
Feature: A record that the store refuses holds up no others

  Scenario Outline: One of <count> records is refused for its content
    Given a writer whose store refuses the record "bad"
    When it writes <count> records, one of them "bad"
    Then all others are in the store, and "bad" is given up and told of once
    And all writes are counted as done

    Examples:
      | count |
      | 1     |
      | 2     |
      | 15    |
      | 40    |

  Scenario: A record that was refused by mistake is written
    Given a writer whose store refuses the record "bad" 2 times
    When it writes 1 records, one of them "bad"
    Then all records are in the store

  # An outage and a refusal were one outcome.
  Scenario Outline: A commit that the store answers with <status> is <outcome>
    When the store answers a commit with <status>
    Then its outcome is <outcome>

    Examples:
      | status | outcome     |
      | 400    | Refused     |
      | 413    | Refused     |
      | 429    | Unavailable |
      | 503    | Unavailable |

  # The next owner read the same records and met the same.
  Scenario: A job whose record is refused ends, and the others run, by any owner
    Given a site of 2 managers
    When a job is accepted whose record the store refuses
    Then it is shown as failed, and the owner logs and counts the refusal
    And the others run, also after the owner ends

  Scenario: A job whose definition the store can't keep is refused at once
    Given two managers at a store that keeps values of 300 bytes
    When a job of 64 steps is submitted
    Then the submission is answered 413 and nothing was written

  # It was sent ten times a second until the caller's deadline.
  Scenario Outline: The store refuses a job's definition <times> times
    Given two managers at a store that refuses definitions <times> times
    When a job of 1 steps is submitted
    Then the submission is answered <status> after <times> refusals

    Examples:
      | times | status |
      | 2     | 200    |
      | 3     | 413    |
