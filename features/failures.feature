# An unexpected error ended a process's watch or its election task, and nothing
# restarted them: the process ran on without taking part.  An error in a call to one
# worker made its owner give up, and each next owner too.  With real processes, whose
# servers ended connections by their answers, two of three owned in turn for 9 s, and
# then nobody for 38 s.
Feature: What fails for one peer, record or task does not stop what serves all

  Scenario: A process takes part again after an error that nobody expected
    Given an owner on the largest VM and 2 others in one store
    When a call of each process fails as nobody expects, and the owner dies
    Then another one owns within 3 s

  Scenario: An odd record of another writer stops no owner
    Then an owner loads these records, and goes on without what is odd
      | key                                   | payload                              |
      | wave/x                                | {}                                   |
      | wave/7                                | []                                   |
      | wave/7                                | {"ordered":7}                        |
      | wave/ordered                          | {"m-1":"now"}                        |
      | vms/moves                             | {"m-1":7}                            |
      | job/queue/00000000000000aa/definition | {"accepted":1,"job":{"spec":"x","steps":[]}} |
      | job/queue/00000000000000aa/definition | {"accepted":1,"job":{"spec":"x","steps":[{"tasks":10001}]}} |
      | job/queue/00000000000000aa/definition | {"accepted":1,"job":{"spec":"x","steps":[{"tasks":1}],"repetitions":10001}} |

  Scenario: A clock that no worker can show is none, on whatever connection
    Given a worker whose first answer shows a clock of 1e308 ms, and later ones its own
    Then its second answer is a report, and a lease can be given

  # Each answer passes through all the code that handles it, from the client to the
  # owner's view of the cluster.
  Scenario Outline: Odd answers of <peer> raise no error
    When 400 answers of <peer> are made odd
    Then each is taken or refused, without an error

    Examples:
      | peer                  |
      | a worker              |
      | the list of VMs       |
      | the admission service |
      | a worker's entry      |
      | the operator          |
