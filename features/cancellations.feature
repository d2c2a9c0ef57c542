# Guards against a job that runs after its cancelling was acknowledged with 410:
# its submission was still on its way, and nothing was recorded of the cancel.
Feature: A job that was cancelled before it is stored never runs

  Scenario Outline: A submission that is stored after the cancel: <how>
    Given two managers at one store
    When a job is submitted at one and cancelled at the other <how>
    Then the cancel is answered 410
    And the job has no task to start, for this owner and the next

    Examples:
      | how                                                     |
      | and the write without an answer is made later           |
      | and the submission is tried again after that            |
      | and the write of its relayed submission is made later   |
      | and the caller submits it again after that              |
      | and the caller submits it again after the lease is over |

  # What a job says that is submitted again under a cancelled identifier.
  Scenario: A job that is submitted again after its cancel is accepted and shown as cancelled
    Given two managers at one store
    When a job is submitted at one and cancelled at the other and the caller submits it again after that
    Then the submission is answered 200
    And the owner shows it as cancelled, and so do its records after the lease is over

  Scenario: An identifier is free again once its cancellation is over
    Given two managers at one store
    When a job is cancelled, and submitted once the lease of that is over
    Then the submission is answered 200
    And the owner starts it

  Scenario: A job that is stored while its cancel is recorded is cancelled as any other
    Given two managers at one store
    When a job is cancelled whose write is made between the reading and the record
    Then the cancel is answered 200
    And the job has no task to start, for this owner and the next

  # The identifier alone decided which job of the owner was cancelled.
  Scenario: A cancel in another queue does not cancel a job of the same identifier
    Given two managers at one store
    When a job is submitted, and its identifier cancelled in another queue
    Then the cancel is answered 410
    And the owner starts it

  # Callers with invented identifiers could fill the store and its writes.
  Scenario: Cancels of unknown jobs cost one write each, and are limited
    Given two managers at one store
    When 300 invented jobs are cancelled at one
    Then 256 cancels are answered 410 and 44 are answered 429 with a time to return
    And 256 writes were made, and one lease of 210 s was opened
    And the other manager still answers 410

  Scenario: Cancels of unknown jobs leave half of the writes to submissions
    Given two managers at a store of 80 writes per second
    When 20 invented jobs are cancelled at one
    Then 10 cancels are answered 410 and 10 are answered 429 with a time to return
    And a job submitted there is accepted

  Scenario: A lease that the store has lost is opened anew
    Given two managers at one store
    When the store loses the lease of a cancel
    Then the next cancel is answered 410 and has another lease

  Scenario: A cancel that is not recorded is not acknowledged
    Given two managers at one store
    When an unknown job is cancelled while the store does not answer
    Then the cancel is answered 504
