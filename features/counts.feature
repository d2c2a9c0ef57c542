# The owner counted a job as begun once it had planned a run, before any worker had
# confirmed the start, and kept it so when the run ended without having begun.  Callers
# saw such jobs as running and got too small a count as long as workers were silent or
# orders were delayed: with silent workers 24 jobs counted as begun for 20 s, and 105 of
# 357 answers told under half of the count.
Feature: The count of jobs that have not begun goes by what workers say

  Scenario: What makes a job begun
    Then a job counts as begun after these words of its workers
      | words                                        | begun |
      | none: it was handed in                       | no    |
      | none: its start is planned                   | no    |
      | none: its start is in the store              | no    |
      | its start is taken                           | yes   |
      | its start finds no room                      | no    |
      | its start has no answer and is given up      | no    |
      | its start comes after its end                | no    |
      | a report lists it                            | yes   |
      | a report tells that it was stopped           | yes   |
      | a report does not list it, its start is sealed | no  |
      | none: its worker is proved to be over        | no    |
      | its start is taken, then its worker is over  | yes   |
      | one of two that start together is there      | no    |
      | both of two that start together are there    | yes   |
      | one of two that start together waited in vain | no   |
      | one of two that start together ends well     | yes   |

  Scenario: No history counts a job as begun that no worker has started
    When 200 job histories run and every record is read as a caller would
    Then none tells of a job as begun before a worker has started it

  Scenario: Beside silent workers, with real processes
    Given a site of 3 managers whose 6 VMs for the jobs are silent
    When 30 jobs of 2 tasks of 3 s are handed in and each manager is asked for 12 s
    Then no answer tells under half of the jobs that were accepted 5 s before and have not begun
    And no job is shown as running before a worker has started it

  # A published count was told whatever its age: as long as no owner published another
  # one, or from an owner whose own view was old.
  Scenario: A number that is old is not told
    Given a queue with 8 jobs accepted and not begun, 5 begun, 3 ended and 2 cancelled
    Then a caller who asks for the count is told so
      | the owner has published                    | the store    | told    |
      | 8, a second ago                            | answers      | 8       |
      | 9, a second ago                            | answers      | 9       |
      | 0, five seconds ago                        | answers      | 8       |
      | 0, an hour from now                        | answers      | 8       |
      | 0, a second ago, by a view of 5 s before   | answers      | 8       |
      | nothing                                    | answers      | 8       |
      | what does not decode                       | answers      | 8       |
      | 0, five seconds ago                        | does not list | refused |
      | nothing                                    | is silent    | refused |

  Scenario: Many callers at once cost one count
    Given a queue with 8 jobs accepted and not begun, 5 begun, 3 ended and 2 cancelled
    When 50 callers ask for the count at once and nothing is published
    Then the store was asked for 2 lists at the most
