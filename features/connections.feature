Feature: Connections that go silent without a reset

  Scenario: One silent connection costs one time limit, not one for each idle one
    Given a server to which 3 connections are open and idle
    When all open connections go silent while new ones work
    Then the first call to it gets no answer in time
    And the second call is answered
