# Servers may end a connection with an answer, as they stop or after a number of calls.
# The HTTP client then closed a connection that the response parser had closed before,
# and the owner took that error for its own and resigned.  With "Connection: close" on
# one of 30 answers two processes took eight terms in 9 s, and a job was still queued
# after 40 s.
Feature: What a peer answers costs that peer's traffic and nothing else

  Scenario: A whole answer that ends its connection is an answer
    Then a server that answers so is answered by 20 calls in turn
      | answer                                          |
      | whole                                           |
      | and says that it closes, and does               |
      | and says that it closes, and does not yet       |
      | in HTTP/1.0                                     |
      | without a length, ended by the close            |
      | after an interim one                            |

  Scenario: Damaged answers are answers or none
    When 2000 answers with bytes changed, dropped or cut at random come
    Then each call has had an answer or none

  # A faulty server may send an answer twice, the second time at once or during the next
  # call, which took it for its own answer or got a body made of both.  An order's answer
  # lists no runs; taken for a report it proves them over, and they would start elsewhere
  # while they still run.
  Scenario: No call takes the second answer to another one for its own
    Then of 30 calls none takes another's answer, and a third has its own at least
      | call              | second answer          |
      | a hold            | at once                |
      | a hold            | during the next call   |
      | an order          | at once                |
      | an order          | during the next call   |
      | a hold after an order | during the next call |
      | a commit          | at once                |
      | a commit          | during the next call   |
      | a read            | during the next call   |
      | a range           | during the next call   |
      | a watch           | during the next call   |
      | a read after a commit | during the next call |
      | a range after a commit | during the next call |
      | a lease           | during the next call   |
      | a list of VMs     | at once                |
      | a list of VMs     | during the next call   |
      | an admission      | during the next call   |

  # A refusal carries no clock reading.  Taken for the answer to the next order, it lets
  # a task start elsewhere while it runs here.
  Scenario: The second refusal of an unwell worker refuses no other order
    Given a worker that refuses one order with 503, twice, and takes all others
    Then of 2 orders in turn the first is refused and the second is taken

  # Workers report their clock in whole milliseconds.  A report that was repeated 2 ms
  # later, as the answer to a hold sent at once, did not look older than the last one.  A
  # run confirmed in between was taken to be gone, and a second one started beside it.
  Scenario: A report that tells no later time than the one before is that one
    Given a worker that answers 2 holds in the same millisecond, then a later one
    Then of 3 holds in turn on one connection the second has no answer

  Scenario: A connection to a server that is called no more is not used again
    Given a server that answers after 50 ms
    When another one is to be called while a call to it is under way
    Then the next call goes to the other one

  Scenario: Servers that end connections leave the owner in place, with real processes
    Given a site of 3 managers whose servers end a connection with each 30th answer
    When 60 jobs of 2 tasks of 0.3 s are handed in
    Then all of them are shown as completed
    And one process has owned all the time, and no task has failed
