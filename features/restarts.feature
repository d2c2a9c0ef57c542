# Tasks that must run once were started again after their end had been acknowledged,
# seen by the users on workers that had crashed and were back at once.
Feature: A worker that starts again under its name is another life

  Scenario Outline: Tasks run once beside restarts, with real processes, <when>
    Given a site of 3 managers with 6 VMs for the jobs
    When <jobs> jobs of 4 tasks of 0.4 s run while workers start again under their names, <when>
    Then no task was started again after its good end was acknowledged
    And no task had two runs at once
    And all of them are shown as completed

    Examples:
      | when                                  | jobs |
      | two of six every second               | 30   |
      | all at one moment, twice              | 30   |
