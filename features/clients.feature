# Guards against clients that make a manager run out of memory, descriptors or
# time: bodies that were not sent to their end took a manager past 160 MB, and
# three connections that never ended their trailers kept it from answering.
Feature: Clients that misbehave end no process, and others are served beside them

  # The load balancer removes a manager that fails two health checks in a row.
  Scenario Outline: A crowd at one manager of a site
    When <count> clients play <kind> at <where> of a manager for 3 s
    Then no process ends, hangs or takes more than 160 MB
    And each ordinary caller beside them is served, or refused at the crowd's manager
    And a caller on a slow link is served
    And all accepted jobs end and no refused one runs

    Examples: bodies
      | count | kind              | where    |
      | 100   | silence           | no-route |
      | 3     | endless-trailers  | route    |
      | 200   | oversized-chunks  | metrics  |
      | 1000  | held-bodies       | route    |
      | 1000  | held-bodies       | ready    |
      | 600   | chunked-bodies    | no-route |
      | 100   | body-fields       | route    |

    Examples: connections
      | count | kind              | where    |
      | 4600  | silence           | route    |
      | 2000  | half-headers      | ready    |
      | 1000  | slow-readers      | route    |

    Examples: jobs
      | count | kind              | where    |
      | 1     | repeated-jobs     | route    |
      | 300   | jobs-ahead        | route    |
      | 50    | wide-jobs-ahead   | route    |
