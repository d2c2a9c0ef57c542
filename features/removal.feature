# The records of an ended job are removed in concurrent commits.  If its progress
# was removed before its definition, the next owner, or the same one when it read
# all jobs again, took it for a new job and ran all its tasks a second time.
Feature: The records of a job that ended long ago are removed

  Background:
    Given an owner with a job of 7 tasks that ended long ago

  Scenario: An owner that takes over amid the removal begins no ended job anew
    When its records are removed, and an owner loads after each commit
    Then no owner has found a job to begin
    And none of its records is left

  Scenario: An owner that reads all jobs amid the removal begins none anew
    When its records are removed, and the owner reads all jobs after each commit
    Then no owner has found a job to begin

  Scenario: A reading that the removal overtakes begins no job anew
    When its records are removed while the owner reads all jobs
    Then no owner has found a job to begin
    And the owner forgets the job at its next round
