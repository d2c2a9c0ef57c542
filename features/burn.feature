Feature: The report on service-level burn

  Scenario: Late, refused and unknown each count as the objective says
    Given 90 answers of 10 ms, 4 of 900 ms, 3 refusals and 3 unknown
    When they are judged by an objective of 95% within 100 ms
    Then 10 of 100 are bad and the burn rate is 2.00
    When they are judged without refusals
    Then 7 of 97 are bad and the burn rate is 1.44

  Scenario: Counts of many entries merge without loss
    Given 4 entries that each count 500 generated times
    When their counts are merged after travelling
    Then the merged quantiles are within a tenth of the true ones

  Scenario: What is older than the window does not count
    Given a ledger with a request every minute for 2 hours
    When the counts of 5 minutes and of an hour are taken
    Then they hold at most 6 and 61 requests

  Scenario: Other workspaces than the first 400 are counted together
    Given a ledger with requests of 1000 workspaces in one minute
    When the counts of 5 minutes and of an hour are taken
    Then 401 series stand for all 1000 requests

  Scenario: The report over real traffic, as text, JSON and one page
    Given a fleet of two halls with objectives and traffic
    Then the text, the JSON and the page show each objective
    And the page needs nothing from elsewhere

  Scenario: An entry that cannot be reached is missing, not good
    Given a fleet of two halls with objectives and traffic
    When an entry of the other hall is killed
    Then the report names it or its hall as missing
