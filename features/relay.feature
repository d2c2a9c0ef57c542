Feature: Requests that the store keeps a manager from answering are relayed

  # A refusal says that the job will never run; one that is wrong runs a job
  # that its caller has given up.
  Scenario Outline: The caller is told what is certain, and no more
    Given a request to <method> a job, its own commit <local>
    When its peers in turn <outcomes>
    Then its caller is told <status>

    Examples:
      | method | local       | outcomes                        | status |
      | POST   | not sent    | answer 200                      | 200    |
      | POST   | unknown     | answer 200                      | 200    |
      | POST   | not sent    | answer 503, answer 200          | 200    |
      | POST   | not sent    | are unreachable, answer 503     | 503    |
      | POST   | not sent    | answer 400                      | 400    |
      | POST   | unknown     | answer 503, answer 503          | 504    |
      | POST   | unknown     | answer 401                      | 504    |
      | POST   | unknown     | answer 400                      | 504    |
      | POST   | not sent    | break off, answer 503           | 504    |
      | POST   | not sent    | break off, answer 413           | 504    |
      | POST   | not sent    | answer 504, answer 200          | 200    |
      | POST   | not sent    | answer 504, are unreachable     | 504    |
      | POST   | not sent    | answer 500, answer 503          | 504    |
      | POST   | not sent    | are silent, answer 503          | 504    |
      | POST   | not sent    | are silent, answer 403          | 504    |
      | POST   | not sent    | are silent, answer 200          | 200    |
      | POST   | not sent    | answer late, answer 400         | 200    |
      | DELETE | not sent    | break off, are unreachable      | 504    |
      | DELETE | unknown     | answer 410                      | 504    |
      | DELETE | not sent    | answer 410                      | 410    |
      | GET    | not sent    | break off, answer 200           | 200    |
      | GET    | not sent    | answer 404                      | 404    |
      | GET    | not sent    | are silent, are silent          | 503    |

  # Too late a second attempt costs the request; one at once doubles the load.
  Scenario: A second peer is tried after half of the remaining time
    Given a request to POST a job, its own commit not sent
    When its peers in turn are silent, answer 200
    Then the second peer was asked after half of the time

  # Without a limit, a surge of callers would fill the memory of small VMs.
  Scenario: More requests than the limit are refused at once
    Given 32 relayed requests whose peers are silent
    When one more is relayed
    Then it is refused at once, as not run

  # As above; and a peer that used all of the time would answer too late.
  Scenario: A peer serves 64 requests at a time, 50 ms less than it is given
    Given a peer that is given 64 requests of 0.5 s
    Then each is served with 0.45 s left, and one more is refused as not run

  # Each caller would otherwise cost two calls between halls for nothing.
  Scenario: Where the store serves no peer either, callers are refused at once
    Given peers that have just said that the store does not serve them
    When one more is relayed
    Then it is refused at once, as not run, without a call
    And 0.4 s later it is relayed again

  # In a hall that is cut off, each caller waited for 1.8 s and was told 504.
  Scenario: A manager that is cut off from its peers refuses callers at once
    Given peers of which 2 have just not answered
    When one more is relayed
    Then it is refused at once, as not run, without a call
    And 1.1 s later one request is relayed, and the next one is refused at once
    When a peer has answered the request that was relayed
    Then the next request is relayed at once

  # The manager took itself to be cut off again, although a peer had just served it.
  Scenario: Attempts that began before a peer served do not count against it
    Given peers of which 2 have just not answered
    When a peer has answered a request
    And the attempts that were begun before it have timed out
    Then the next request is relayed at once

  # Each request waited for the silent peer for 1 s and was told 504.
  Scenario: One silent peer beside peers that refuse delays few callers
    Given a peer that has twice not answered, and others that refuse
    When one more is relayed
    Then it is refused at once, as not run, without a call
    And 1.1 s later one request is relayed

  # A manager whose peers were reached but slow took itself to be cut off.
  Scenario: A peer that answers 504 has answered
    Given peers of which 2 have just answered 504
    Then the next request is relayed at once

  # A caller whose deadline is 3 s was told to return after 3 s.
  Scenario Outline: Callers are told to return within their deadline
    Then with a deadline of <deadline> s, a Retry-After of 3 s becomes <told> s

    Examples:
      | deadline | told |
      | 0.4      | 1    |
      | 3.05     | 2    |
      | 30       | 3    |
      | no       | 3    |

  # After 32 of them the manager relayed nothing any more, and its callers waited for
  # all of their time.  A faulty peer could fill the log by its reasons.
  Scenario: Errors in the client and odd answers are contained
    Then an unexpected error of the client leaves no attempt in flight
    And an answer that raises an error counts as no answer
    And a peer's reason of 5000 characters is cut to 120

  # A restarted manager relayed to itself; names of ended processes were kept for ever.
  Scenario: What is known of ended processes is not used
    Then a manager's earlier process at its address is no target of it
    And a registration that cannot be read is forgotten with its key

  # The first relayed request waited for the import.
  Scenario: gRPC is loaded before it is needed
    Then gRPC is loaded once, without waiting, when the store fails

  # A gRPC server and a warning were made every 0.5 s.
  Scenario: A manager without a free port does not try again and again
    Then a manager that finds no free port tries it once

  # All callers of an outage would otherwise return in the same second.
  Scenario: The refused callers of an outage return over three seconds
    Then Retry-After is spread evenly over 1 to 3 s in an outage, and 1 s else

  Scenario Outline: A request waits for the store only while that may help
    Given a relaying manager's store that <behavior>
    When a job is read at a manager that relays
    Then <result>

    Examples:
      | behavior                         | result                            |
      | answers after 0.24 s             | it is answered and not relayed    |
      | fails once and then answers      | it is answered and not relayed    |
      | has been quiet but not failed    | it is answered and not relayed    |
      | has had calls cancelled          | it is answered and not relayed    |
      | does not answer                  | it is relayed after 0.4 s         |
      | rejects each call at once        | it is relayed after 0.4 s         |
      | has served nothing for 0.7 s     | it is relayed at once             |

  Scenario Outline: A manager that the store rejects answers through a peer
    Given a site of 3 managers that relay
    When the store rejects the last manager by <how>
    Then jobs are submitted, read, counted and cancelled there as elsewhere
    And a key that is unknown is answered 401 there
    And that manager is not ready
    And each job ran as often as it should

    Examples:
      | how   |
      | 503   |
      | reset |
      | hang  |

  # gRPC costs memory, which only managers that need it may pay.
  Scenario: Only managers that serve peers load gRPC
    Given a site of 3 managers that relay
    Then 2 managers listen for peers on ports of their own, and register them
    And 1 manager has not loaded gRPC
    And a manager that listens for peers ends in time when it is told to

  # Peers of another release, or beyond one hop, may mean something else.
  Scenario: Relayed requests that a manager must not take are rejected
    Given a site of 3 managers that relay
    Then a request of another release, or one of two hops, is answered 503
    And each reason is logged once

  # A manager stood still for 2 s, as its hub waited for the message of the call.
  Scenario: A peer that sends no message stops nothing
    Given a site of 3 managers that relay
    Then no call of a peer without a message delays its other callers

  Scenario Outline: A faulty peer makes no answer wrong
    Given a manager that the store rejects, whose only peer <fault>
    Then a job submitted there is answered <post>, and one read there <get>

    Examples:
      | fault               | post | get |
      | is not there        | 503  | 503 |
      | has no such call    | 503  | 503 |
      | ends each call      | 504  | 503 |
      | answers nonsense    | 504  | 503 |
      | never answers       | 504  | 503 |
