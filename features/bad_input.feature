Feature: Bad input is refused at once, by name, and reaches no target

  Background:
    Given a fleet of two halls

  Scenario Outline: A bad header is refused and named
    When a caller sends a request with <header> "<value>"
    Then the answer has status <status> and names "<header>"
    And the outcome is "refused"
    And no target was reached

    Examples:
      | header                 | value           | status |
      | Rackvalve-Workspace    | nobody          | 403    |
      | Rackvalve-Workspace    | sp ace          | 400    |
      | Rackvalve-Pool         | nowhere         | 404    |
      | Rackvalve-Class        | urgent          | 400    |
      | Rackvalve-Deadline     | soon            | 400    |
      | Rackvalve-Deadline     | 0               | 400    |
      | Rackvalve-Deadline     | -5              | 400    |
      | Rackvalve-Deadline     | 99999999999     | 400    |
      | Rackvalve-Repeatable   | maybe           | 400    |
      | Rackvalve-Expected-Run | 1.5             | 400    |
      | Rackvalve-Request-Id   | a b             | 400    |
      | Idempotency-Key        | {}              | 400    |

  Scenario: A missing header is refused and named
    When a caller sends a request without "Rackvalve-Workspace"
    Then the answer has status 400 and names "Rackvalve-Workspace"
    And no target was reached

  Scenario: An over-long header is refused and named
    When a caller sends a request with a Rackvalve-Pool of 2000 characters
    Then the answer has status 431 and names "Rackvalve-Pool"
    And no target was reached

  Scenario: A request that is not repeatable needs a key
    When a caller posts without a key
    Then the answer has status 400 and names "Idempotency-Key"
    And no target was reached

  Scenario: A key that carries no time is refused
    When a caller posts with key "00000000-0000-4000-8000-000000000000"
    Then the answer has status 400 and names "Idempotency-Key"
    And no target was reached

  Scenario: An oversized body is refused before it is read
    When a caller announces a body of 50000000 bytes
    Then the answer has status 413 and names "body"
    And no target was reached

  Scenario: A chunked body that grows too large is refused
    When a caller sends a chunked body of 3000000 bytes
    Then the answer has status 413 and names "body"
    And no target was reached

  Scenario: Of two lengths the chunks count, and the target gets one
    When a caller sends a chunked body that also announces 5 bytes
    Then the outcome is "served"
    And the answer is the whole answer to this request

  Scenario: A truncated body is refused
    When a caller announces 100 bytes and sends 10
    Then the answer has status 400 and names "body"
    And no target was reached

  Scenario: A path that is no path is refused
    When a caller sends the path "//evil/work"
    Then the answer has status 400 and names "path"
    And no target was reached

  Scenario: No bytes end an entry
    When 200 generated requests are sent as they are
    Then the entry still serves
