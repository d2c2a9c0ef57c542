Feature: Connections that go silent without a reset

  Scenario: One silent connection costs one time limit, not one for each idle one
    Given a server to which 3 connections are open and idle
    When all open connections go silent while new ones work
    Then the first call to it gets no answer in time
    And the second call is answered

  # What is held up by a cut link arrives when the link is back, unless its
  # sender has reset the connection.
  Scenario Outline: A call that is given up resets its connection
    Given a server to which 1 connections are open and idle
    When all open connections go silent while new ones work
    And a call to it is <ended>
    Then the server sees the connection reset

    Examples:
      | ended                          |
      | not answered in time           |
      | ended together with its caller |
