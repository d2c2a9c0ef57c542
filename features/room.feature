# Guards against runs that are stopped for room on another worker on which their tasks
# cannot start: room was judged by resources alone.
Feature: Room elsewhere is where the task can start now

  Scenario Outline: Another worker <how> <has> room for a run's task
    Given a run on one of two workers, and another worker <how>
    Then it <has> room elsewhere

    Examples:
      | how                                | has    |
      | with the same label                | has    |
      | without its label                  | has no |
      | that has a task of its step        | has no |
      | that is reserved for another job   | has no |
      | that isolates another job's run    | has no |
      | that is not admitted               | has no |
      | that is admitted                   | has    |
      | of which no admission is known     | has    |
      | while its queue is being removed   | has no |

  # The members of a gang took the room of tasks that were to leave an evacuated hall.
  Scenario Outline: A lasting gang of <tasks> that waits takes room for <taken> tasks of 4
    Given a pool with room for 4 tasks, and a lasting gang of <tasks> that waits
    Then there is room for <left> tasks that leave an evacuated hall

    Examples:
      | tasks | taken | left |
      | 3     | 3     | 1    |
      | 5     | 0     | 4    |
