# Guards against clients that make a process hold more than its VM has, and
# against limits that shut out callers that keep to them.
Feature: What clients make a process hold is limited, and the stalled are closed first

  Scenario Outline: With all connections taken, the one that stands still longest goes
    Given a server for 4 connections
    And connections that <first>, <second>, <third> and <fourth>
    When another connection comes
    Then the one that <closed> is closed

    Examples:
      | first               | second             | third             | fourth            | closed              |
      | has been silent 2 s | sent 0.1 s ago     | sent 0.2 s ago    | sent 0.3 s ago    | has been silent 2 s |
      | sent 0.1 s ago      | has been silent 1 s | works since 9 s  | works since 8 s   | has been silent 1 s |
      | sends each 0.5 s    | has been silent 1 s | sends each 0.4 s | sends each 0.3 s  | has been silent 1 s |

  Scenario: Connections whose requests are carried out are not closed
    Given a server for 2 connections
    And connections that works since 9 s and works since 8 s
    When another connection comes
    Then it is refused, and none is closed

  Scenario: A body that stands still makes room for another one
    Given a server for 4 connections and 100 bytes of bodies
    When a body of 80 bytes stands still for 1 s and one of 60 bytes comes
    Then there is memory for it, and the connection of the first is closed

  Scenario: A body that is being sent makes room for none
    Given a server for 4 connections and 100 bytes of bodies
    When a body of 80 bytes was sent 0.1 s ago and one of 60 bytes comes
    Then there is no memory for it, and no connection is closed

  Scenario: Where no bodies are taken, a crowd's are refused as it connects
    Given a server for 4 connections and 0 bytes of bodies
    Then 1 connection leaves it open for long bodies, and 2 close it to them

  Scenario Outline: A VM's memory and descriptors decide how many callers it holds
    Then a VM of <memory> MB and <descriptors> descriptors holds <least> callers or more
    And what they may take leaves half of its memory and descriptors

    Examples:
      | memory | descriptors | least |
      | 160    | 4100        | 500   |
      | 552    | 8192        | 1500  |
      | 160    | 512         | 200   |

  Scenario Outline: A request is read within its limits, or told why not
    Given a server that answers with the length of the body
    When a client has sent <request>
    Then the server answers <status>

    Examples:
      | request                                     | status |
      | a body of 262144 bytes                      | 200    |
      | a body of 262144 bytes in chunks of 1       | 200    |
      | a body of 262144 bytes in chunks of 4096    | 200    |
      | two requests at once                        | 200    |
      | a body that is announced and expected       | 200    |
      | a header of 20000 bytes                     | 431    |
      | a header of 200 fields                      | 431    |
      | a chunk without a length                    | 400    |
      | a chunk that is longer than it says         | 400    |
      | a trailer of 20000 bytes                    | 431    |
      | half a header                               | 408    |
      | half a body                                 | 408    |

  Scenario: A header that comes slowly has its time as a whole
    Given a server that answers with the length of the body
    When a client sends its header byte by byte, one each 0.02 s
    Then its connection is closed before the header is whole

  Scenario: The operator's limits of callers are in force
    When the configuration limits headers to 900 bytes and idle times to 700 ms
    Then callers are limited so, and a limit of 0 is the default

  Scenario Outline: A job that no VM could hold is rejected by what it says
    When a caller submits <job>
    Then it is rejected for "<reason>"

    Examples:
      | job                                   | reason                    |
      | 10000 repetitions of 4096 tasks       | 40960000 tasks            |
      | 87000 empty steps                     | length <= 64              |
      | a step with 60000 labels              | length <= 64              |
      | a step after 60000 others             | length <= 64              |
      | fields that are nested 100000 deep    | recursion                 |

  Scenario: Half of an owner's memory is divided among the queues
    Given an owner with 1000000 bytes for jobs, and 2 queues
    When it holds 600000 bytes of jobs of one queue
    Then a job of 200000 bytes is refused there, and one of 200000 accepted elsewhere

  Scenario: A manager counts what it accepted until the owner has published it
    Given an owner with 1000000 bytes for jobs, and 2 queues
    When it holds 300000 bytes of jobs of one queue
    And this manager accepts jobs of 30000 bytes until it refuses one
    Then it has accepted 3 of them
    And after two publications of the owner it accepts another one

  Scenario: A job takes less memory once it has ended
    Then a job of 13 tasks takes a quarter less once it has ended

  Scenario: Submissions that were sent ahead leave half of the rate to the others
    Given a rate of 100 submissions a second
    When 200 are sent ahead at once
    Then 50 of them are taken, and 50 of others
    And a second later 100 of others are taken

  Scenario Outline: The smallest VM's memory bounds what is accepted
    Then a manager with <own> MB writes the record of <known> MB, <age> s old: <written>

    Examples:
      | own | known | age | written |
      | 160 | 300   | 1   | yes     |
      | 300 | 160   | 1   | no      |
      | 160 | 160   | 1   | no      |
      | 160 | 160   | 70  | yes     |
      | 300 | 160   | 400 | yes     |

  Scenario: A method that a caller invents has no label of its own
    When callers send 50 methods that they invented
    Then the metrics name one method for all of them

  Scenario: A job whose answer was lost is not told to be refused
    Given a manager whose owner holds as many jobs as it can
    When a job that was stored before is submitted again, and another one
    Then the first is told to be accepted, and the other one refused
