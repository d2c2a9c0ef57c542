Feature: Which process owns the scheduling: one with enough processor

  Scenario Outline: A smaller VM lets larger ones go first
    Given a VM of <own> cores that has seen one of <seen> cores
    Then it waits <wait> ms before it takes a free ownership

    Examples:
      | own  | seen | wait |
      | 2.0  | 2.0  | 0    |
      | 2.0  | 0.5  | 0    |
      | 0.5  | 2.0  | 188  |
      | 1.0  | 2.0  | 125  |

  Scenario Outline: Only a much larger VM asks the owner to hand over
    Given a VM of <own> cores that has seen one of <owner> cores
    Then it asks an owner of <owner> cores after <time> s: <answer>

    Examples:
      | own | owner | time | answer |
      | 2.0 | 0.5   | 3    | yes    |
      | 2.0 | 0.5   | 1    | no     |
      | 0.7 | 0.5   | 3    | no     |
      | 0.5 | 2.0   | 3    | no     |

  Scenario: The larger VM owns the scheduling, also after it was away
    Given a site of managers with 0.5 and 2 cores
    When jobs run and the larger one is killed and started again
    Then the larger one comes to own the scheduling again
    And all of them are shown as completed and each task ended well once
    And no task ever ran twice at the same time
