# Workers that have just started are slow for a while.
Feature: Cold workers come into use gradually

  # A hint that cannot be read stopped no one; one that is read again must not
  # make its worker cold for longer; one written again with the same value must.
  Scenario Outline: How long a worker is cold counts from the first reading
    Given an owner that has the part <switch>, and an entry that says 3000 ms
    When a next entry says <value> ms and is read twice, 1 s apart
    Then <count> entries are rejected in the log, and it is cold for <seconds> s

    Examples:
      | switch | value  | count | seconds |
      | on     | 4000   | 0     | 5       |
      | on     | 3000   | 0     | 4       |
      | on     | -1     | 1     | 3       |
      | on     | "long" | 1     | 3       |
      | on     | null   | 1     | 3       |
      | off    | -1     | 0     | 0       |

  # Fields that were ignored before must not make a configuration unusable.
  Scenario: Invalid limits of cold workers in a configuration mean none
    Then cold-start-s 5, -1, "x" and null mean 5, 0, 0 and 0 s

  # Cold workers got as many tasks at once as others, and ended them late.
  Scenario Outline: Cold workers get tasks that end last, and few per second
    Given 2 workers of 4 cores, the <cold> cold for 5 s with 2 starts per second
    When <count> <kind> tasks are planned for 3 s
    Then <first> start at once on the first and the second, and <all> in all

    Examples:
      | cold   | count | kind    | first | all |
      | second | 4     | usual   | 4 0   | 4   |
      | second | 6     | usual   | 4 1   | 6   |
      | second | 4     | lasting | 3 1   | 4   |
      | both   | 8     | usual   | 1 1   | 8   |
      | both   | 3     | gang    | 0 0   | 0   |

  # A worker that had just started lost its runs to others, or lost them at the
  # moment at which it became warm.
  Scenario Outline: Cold workers are not judged slow, and keep their runs
    Given 4 workers with tasks of a step, the last of them cold for 4 s
    When it is <factor> times as slow as the others for <seconds> s
    Then <count> of its runs are stopped

    Examples:
      | factor | seconds | count |
      | 10     | 4.9     | 0     |
      | 15     | 3.9     | 0     |
      | 25     | 4.9     | 0     |
      | 10     | 6.5     | 4     |
