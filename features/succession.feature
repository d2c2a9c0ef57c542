# A small VM took the ownership after an outage and had not loaded the jobs 3 s
# later, while large ones were about to regain contact.
Feature: Registered managers take a free ownership in their order

  Scenario Outline: Standbys go first, then the largest VMs
    Given managers a, b, c and d with 2.15 cores and s with 0.5, where a owned
    Then <manager> waits <wait> ms, the ownership being free for <free> s

    Examples:
      | manager | wait | free |
      | b       | 0    | 0.0  |
      | c       | 60   | 0.0  |
      | d       | 250  | 0.0  |
      | s       | 1500 | 0.0  |
      | s       | 692  | 2.0  |

  # Otherwise a deployment whose only large VM is lost would have no owner for 1.5 s.
  Scenario: The lost owner's VM holds nobody up
    Given managers a with 2.15 cores and s with 0.5, where a owned
    Then s waits 0 ms, the ownership being free for 0.0 s

  # A small VM whose watch had to read all keys again waited for another 1.5 s.
  Scenario: The time for which the ownership is free is kept
    Then reading the store again does not begin the wait anew

  Scenario: After an outage the previous owner gets time to go on
    Given managers a, b, c and d with 2.15 cores and s with 0.5, where a owned
    Then b waits 400 ms, 0.0 s after an outage
    And b waits 0 ms, 0.4 s after an outage

  # A small VM loaded the jobs for more than 3 s, and nothing started meanwhile.
  Scenario: A small VM that loads for long hands over to a larger one
    Given registered managers with 2, 2 and 0.5 cores, the first one owning
    When the owner dies, and the next one does not finish loading
    Then it owns for 0.9 to 1.6 s, and the larger VM follows it

  # A commit that was cut took effect after the read of the term key: for the length
  # of its lease the key was held and no owner ran.
  Scenario: A commit that takes effect late holds nobody up
    Given registered managers with 2, 2 and 0.5 cores, the first one owning
    When the owner dies, and the commit of the next one takes effect late
    Then one of them owns 0.4 s later

  # A write that was cut bound the key to a lease that nobody renewed: a healthy
  # manager was no longer registered 3 s later.
  Scenario Outline: A registration that takes effect late is not bound to its lease
    Given a manager that registers, whose first write is cut
    When that write takes effect <when> the next one
    Then the manager is registered under the lease that it renews

    Examples:
      | when   |
      | before |
      | after  |

  # Peers would choose a manager that has ended.
  Scenario: A manager that ends while it opens a lease does not register
    Given a manager that is told to end while it opens a lease
    Then it leaves no registration and no lease
