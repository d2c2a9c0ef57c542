# Keys of workspaces are added and removed, several within 0.1 s or all of a
# workspace's at once, while an entry is cut off from the store or its watch is
# stalled.  A change must take effect within 3 s.  The design case is twenty
# workspaces with two keys each.
Feature: Callers show the key of a workspace and get at its jobs alone

  Scenario: A known key is judged by a fresh view, without asking the store
    Given an entry whose view was confirmed 1.0 s ago
    When a caller asks for its job with the key "key-of-north"
    Then the caller is answered 200 after 0 comparisons

  Scenario Outline: Without a usable key the answer is 401, and says what to show
    Given an entry whose view was confirmed 1.0 s ago
    When a caller asks for its job with the header <header>
    Then the caller is answered 401 after 1 comparisons
    And the answer carries "WWW-Authenticate" and no key

    Examples:
      | header                                |
      | none                                  |
      | Bearer key-of-nobody                  |
      | Bearer                                |
      | Basic key-of-north                    |
      | key-of-north                          |
      | Bearer key-of-north,Bearer other      |
      | Bearer key-of-north key-of-south      |
      | Bearer k\xe9\udcff\x00y               |
      | 600 characters                        |

  Scenario: A key that was added a moment ago is found though the view is fresh
    Given an entry whose view was confirmed 0.1 s ago
    And a newer configuration with the key "key-just-added" of north in the store
    When a caller asks for its job with the key "key-just-added"
    Then the caller is answered 200 after 1 comparisons

  Scenario: A key that was taken away while the watch is stuck opens nothing
    Given an entry whose view was confirmed 3.0 s ago
    And a newer configuration without the keys of north in the store
    When a caller asks for its job with the key "key-of-north"
    Then the caller is answered 401 after 1 comparisons

  Scenario Outline: Without the store nobody is told that a key is unknown
    Given an entry whose view was confirmed <age> s ago
    And its store says nothing
    When a caller asks for its job with the key "<key>"
    Then the caller is answered 503 after 0 comparisons

    Examples:
      | age | key            |
      | 3.0 | key-of-nobody  |
      | 3.0 | key-of-north   |

  Scenario: Callers with invented keys do not make an entry ask at each call
    Given an entry whose view was confirmed 0.1 s ago
    When 300 callers with invented keys come within 0.5 s
    Then all are answered 401 after 11 comparisons at the most

  Scenario Outline: Another workspace's job is neither shown, cancelled nor taken
    Given an entry whose view was confirmed 0.1 s ago
    And the job is <phase>
    When a caller sends <method> for the job of north with the key "key-of-south"
    Then the caller is answered 403 after 0 comparisons
    And nothing was written

    Examples:
      | phase     | method |
      | queued    | GET    |
      | running   | GET    |
      | queued    | DELETE |
      | running   | DELETE |
      | queued    | POST   |

  Scenario: The workspace's own second key opens its job
    Given an entry whose view was confirmed 0.1 s ago
    When a caller sends DELETE for the job of north with the key "second-key-of-north"
    Then the caller is answered 200 after 0 comparisons

  Scenario: A queue without keys, and a deployment without workspaces, ask for none
    Given an entry whose view was confirmed 0.1 s ago
    When a caller without a key asks for a job of the open queue
    Then the caller is answered 410 after 0 comparisons
    When the configuration names no workspaces and a caller comes without a key
    Then the caller is answered 200 after 1 comparisons

  Scenario: A job keeps its workspace, and one of an older release has none
    When a job of north is recorded and read again
    Then it belongs to north, also by its progress alone
    When the record of an older release is read
    Then it belongs to no workspace and its next record can be read

  Scenario: Wrong workspaces are taken as they are defined to be
    When a configuration has two workspaces of one name, one key in two, and odd bounds
    Then the first of each counts, a negative bound is none, a negative rate is 0

  Scenario: A configuration that can't be read leaves the one before in force
    Given an entry whose view was confirmed 0.1 s ago
    And a configuration in the store whose bounds are no numbers
    When a caller asks for its job with the key "key-of-nobody"
    Then the view still holds version 1, and no key stands in what was logged
