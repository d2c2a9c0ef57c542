Feature: Pages and examples hold what the code says

  Scenario: The reference pages are those that the code makes
    Then each made page is committed as it is

  Scenario: The examples pass their checks
    Then each example of settings and configuration has no fault

  Scenario: Every link of the pages leads to a file
    Then no page has a link to a file that is not there
