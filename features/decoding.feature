# Guards against a document that ends a task of the process: decoders caught some of
# the errors that a payload can raise, and a list 20,000 deep raised another one.
Feature: What arrives from outside a process is decoded or refused by name

  Scenario Outline: Odd documents of <source> end no task
    Given a document of <source>
    When each odd form takes its place, or stands in it
    Then each is used or refused by name

    Examples:
      | source                    |
      | a worker's entry          |
      | the configuration         |
      | a wave                    |
      | a job's definition        |
      | a job's progress          |
      | a job's cancellation      |
      | the owner's key           |
      | a member's registration   |
      | the memory record         |
      | the published counts      |
      | the namespaces            |
      | a caller's job            |
      | a worker's report         |
      | a worker's answer         |
      | a worker's refusal        |
      | the list of VMs           |
      | the refusal of a VM order |
      | an advice                 |
      | a read of the store       |
      | a range of the store      |
      | a watch of the store      |
      | a commit in the store     |
      | a conflict in the store   |
      | a lease of the store      |
      | a line of the log         |

  Scenario: A good document of the operator is in force after an odd one
    Given a manager's view of the operator's documents
    When each odd form is written as configuration and as wave, and then good ones
    Then the good ones are in force

  Scenario: A new owner begins beside odd records of earlier ones
    Given a new owner's control of VMs
    When the records of waves, moves and orders are of odd forms
    Then it begins, and keeps what it can read
