Feature: The whole path, as separate processes

  Background:
    Given a fleet of two halls

  Scenario: A request is served whole, from end to end
    When a caller sends a request of 40000 bytes through hall "north"
    Then the outcome is "served"
    And the answer is the whole answer to this request

  Scenario: The request identifier passes to the target and back
    When a caller sends a request with identifier "counter-7.lookup-1"
    Then the answer carries identifier "counter-7.lookup-1"
    And the target saw identifier "counter-7.lookup-1"

  Scenario: A large answer is streamed whole
    When a caller asks for an answer of 3000000 bytes
    Then the outcome is "served"
    And the answer has 3000000 bytes
