# Jobs stood still for 9 to 20 s while hundreds of others started.  A worker had
# ended, and the owner that knew it was deposed before its record was in the store.
# Records named the worker only by its identity and its entry was gone, so each next
# owner had nobody to ask, waited 8.4 s for the longest lease that could have been
# granted, and was replaced before that.  Of three owners in a row the first had the
# proof after 0.7 s; the others waited anew, 18.2 s in all.
Feature: The proof that a worker's runs are over does not end with its owner

  Scenario: Each owner asks the workers that the records name
    Given a site of 3 managers
    When 4 jobs run, their owner is killed and their workers crash, and the next owner ends too
    Then all of them are shown as completed and each task ended well once
    And no task ever ran twice at the same time
    And an owner that followed was told by each of these workers' VMs that another incarnation is there

  Scenario Outline: A record tells where a run's worker can be asked
    Given a job with a run on a worker at 127.0.0.1:8001 on the VM m-1
    When its record is written by <writer> and read by a new owner
    Then the new owner knows the run, and <place>

    Examples:
      | writer             | place                                |
      | this release       | that 127.0.0.1:8001 on m-1 can be asked |
      | the release before | no place to ask                      |
