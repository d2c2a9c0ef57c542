# Guards against accepted jobs that are lost when the name of their queue
# changes: callers know a host, a path and an identifier, but records were kept
# under the queue's name, and a job without a queue of its name stood still.
Feature: A job belongs to the path that its caller named, not to a queue's name

  # All managers answered 410, a second submission made a second job, and the
  # second step never started.
  Scenario: A queue gets another name while a job runs
    Given a site of 2 managers
    When a job of two long steps runs and its queue gets another name
    Then no manager answers 410 for it
    And handing it in again at its path starts nothing
    And all of them are shown as completed and each task ended well once

  # DELETE was answered 410, and the tasks ran on.
  Scenario: A job is cancelled after its queue got another name
    Given a site of 2 managers
    When a job of 2 long tasks is handed in and runs
    And its queue gets another name
    And it is cancelled
    Then it is shown as cancelled and nothing of it runs

  Scenario: A job that waits is counted after its queue got another name
    Given a site of 2 managers
    When a job is handed in that no worker has room for
    And its queue gets another name
    Then each manager counts one waiting job

  Scenario: A queue is away for a time and comes back under another name
    Given a site of 2 managers
    When a job of two long steps runs and its queue is removed
    Then its second step starts while the queue is away
    When its queue comes back under another name
    Then all of them are shown as completed and each task ended well once

  Scenario: The name of a queue passes to another path
    Given a site of 2 managers
    When a job of two long steps runs and its queue's name passes to another path
    Then a job is accepted at the other path
    And each path shows its own job only
    And all of them are shown as completed and each task ended well once

  # A new owner knew the queues of the newest configuration only.
  Scenario: The owner is lost after the queue of its job was removed
    Given a site of 2 managers
    When a job of two long steps runs and its queue is removed
    And the owner ends
    Then its second step starts while the queue is away

  # With no queue, failures were counted against no limit.
  Scenario: The queue of a job is away while a task fails for the last time
    Given a job with a task that has failed twice
    When its queue is removed and the task fails once more
    Then the job has failed

  Scenario: A queue comes back with fewer attempts than a task has used
    Given a job with a task that has failed twice
    When its queue comes back with 2 attempts
    Then the job has failed

  # Two addresses never share records, and managers agree without asking.
  Scenario Outline: Namespaces when <change>
    Given a directory of the queues <before>
    When the configuration has the queues <after>
    Then the namespaces are <namespaces>

    Examples:
      | change                        | before         | after               | namespaces     |
      | a queue gets another name     | a=/a/ b=/b/    | c=/a/ b=/b/         | /a=a /b=b      |
      | a slash at the end is dropped | a=/a/          | a=/a                | /a=a           |
      | a queue is removed            | a=/a/ b=/b/    | b=/b/               | /a=a /b=b      |
      | two queues exchange names     | a=/a/ b=/b/    | b=/a/ a=/b/         | /a=a /b=b      |
      | a name passes to a new path   | a=/a/          | c=/a/ a=/d/         | /a=a /d=own    |
      | a name can't be part of a key | a=/a/          | a=/a/ x/y=/d/       | /a=a /d=own    |

  Scenario: The namespace of a removed queue is kept while it has jobs
    Given a directory of the queues a=/a/ b=/b/
    When the configuration has the queues b=/b/
    Then the namespace a is kept for 900 s, and longer while it has jobs

  Scenario: A directory is the same after it was stored
    Given a directory of the queues a=/a/ b=/b/
    When the configuration has the queues c=/a/
    Then the stored directory is read as it was written

  # Releases that store jobs under the present name run beside this one.
  Scenario: A job that an earlier release stored after its queue got another name
    Given a manager whose queue got another name
    When an earlier release stores a job under that name
    Then the manager shows it, takes it for the same job and cancels it

  # The count left out what an earlier release counts or stores by the name.
  Scenario Outline: Waiting jobs of a queue are counted under both of its names, <source>
    Given a manager whose queue got another name
    When jobs wait under both names, <source>
    Then the manager counts 2 waiting jobs

    Examples:
      | source                  |
      | as the owner told       |
      | by their records        |

  # The manager stored jobs under a namespace that the owner had given up, where
  # neither callers nor owners find them.
  Scenario Outline: A queue comes back 400 s after its removal, its namespace <state>
    Given a manager whose copy says that its queue was removed 400 s ago
    When the namespace is <state>, and a job is submitted there
    Then the job is stored under the namespace "<namespace>"
    And the stored directory has that namespace, and its queue is not removed

    Examples:
      | state    | namespace |
      | kept     | first     |
      | given up | second    |

  Scenario: Managers that register queues at once agree on the namespaces
    Given two managers with a directory of namespaces at one store
    When one knows a queue by its first name and one by its second
    Then both use the first one's namespace, and it was written once

  Scenario: A copy of the directory is used while the store does not answer
    Given a manager that read the directory 400 s ago, and a silent store
    Then the namespace of its queue is known at once
    And it is read again in the background

  Scenario: A manager that knows no directory refuses in time
    Given a manager that has read no directory, and a silent store
    Then 20 requests at once are told so within 1 s

  # The refused commit would be sent again for good.
  Scenario: A directory that the store refuses for its size
    Given a manager whose store refuses the directory
    When 5 jobs are submitted there
    Then all are stored under their queue's name, and the directory was sent once

  Scenario: A directory that does not decode is left as it is
    Given a manager whose stored directory does not decode
    When a job is submitted there
    Then it is stored under its queue's name, and the directory is unchanged
