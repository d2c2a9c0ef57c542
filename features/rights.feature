Feature: Rights: keys run once, slots are never exceeded, revocation first

  Scenario: Thousands of histories grant no key twice
    When 1500 generated key histories run on the right registry
    Then no key was granted twice

  Scenario: A registry in memory alone grants a key twice
    When 400 generated key histories run on the naive registry
    Then a key was granted twice

  Scenario: A refused request gives its key back, an unknown one does not
    Given an owner that granted a key
    When the request is settled as "refused"
    Then the key is granted again
    When the request is settled as "unknown"
    Then the key is refused for "key-used"

  Scenario: A late settlement of an earlier claim changes nothing
    Given an owner that granted a key
    When the request is settled as "refused"
    Then the key is granted again
    When the first claim is settled as "refused" once more
    Then the key is refused for "key-used"

  Scenario Outline: A key is refused by its time
    Given an owner that started 100 seconds ago
    When a key made <age> seconds ago is claimed
    Then the key is refused for "<reason>"

    Examples:
      | age | reason          |
      | 700 | key-expired     |
      | 101 | key-not-vouched |
      | 99  | key-not-vouched |
      | -5  | key-in-future   |

  Scenario: Shares sum up to the slots in each division, and never beyond
    When 500 generated changes of entries divide a target's slots
    Then the shares in force never exceeded the slots

  Scenario: Shares that change at once exceed the slots
    When 500 generated changes of entries divide the slots naively
    Then the shares in force exceeded the slots

  Scenario: A report made in another steward's round confirms nothing
    Given two stewards that act at once and have both begun rounds
    When an entry reports in the second steward's round
    Then the first steward still waits for it, the second does not

  Scenario Outline: Exhaustive exploration finds no violation
    When the model "<model>" is explored
    Then no violation is found in more than <states> states

    Examples:
      | model                        | states |
      | two stewards act at once     | 5000   |
      | a VM restarts while draining | 5000   |
      | an entry joins               | 5000   |
      | an old copy beside a newer   | 5000   |

  Scenario Outline: Taking a part of the rule out is found
    When the model "<model>" is explored without "<part>"
    Then the violation "<violation>" is found

    Examples:
      | model                        | part        | violation          |
      | two stewards act at once     | revoke      | target that is away |
      | two stewards act at once     | acknowledge | target that is away |
      | a VM restarts while draining | confirm     | target that is away |
      | an old copy beside a newer   | trust       | target that is away |
      | an entry joins               | shrink      | 2 jobs on 1 slot   |
