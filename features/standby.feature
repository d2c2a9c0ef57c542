# On the worst day of the users' first deployment five managers regained contact
# 1.5 s after the store's recovery, as their watches and renewals hung until their
# timeouts, and callers were refused in the meantime.
Feature: Managers regain contact as soon as the store answers again

  Scenario: Calls that hang since an outage do not delay the contact
    Given a prober, and a watch of 60 s, on a store that is silent
    When the store answers again
    Then the watch is made again, long before its timeout

  Scenario: All managers notice the end of an outage
    Given a site of 3 managers with standbys
    When the store is silent for 5.0 s
    Then each manager is ready again, and has noticed it by a probe
    And a job that is submitted is accepted

  Scenario: A healthy store gets no probes, though calls fail now and then
    Given a prober of a store that answers after 0.004 s
    When a call fails 3 times, 0.1 s apart
    Then the store got 2 probes and no recovery is reported

  # A store slower than 0.25 s had its calls cancelled again and again, as each
  # cancelled call counted as a failed one and started probes.
  Scenario: Calls that were cancelled start no probes
    Given a prober of a store that answers after 0.3 s
    When 3 calls are cancelled
    Then the store got 0 probes and no recovery is reported
    And calls that are cancelled are counted as such

  Scenario: An outage is reported over once, when the store answers
    Given a prober of a store that answers after 0.004 s
    When the store is silent to it for 1.0 s after a failed call
    Then a recovery is reported 1 times, within 0.3 s of its return

  # With a fixed timeout of 0.25 s a store that takes 0.3 s would seem silent for good,
  # and would be probed for as long as it is slow.
  Scenario: A slow store that answers other calls is recognized
    Given a prober of a store that answers after 0.3 s
    When other calls are answered for 2.0 s after a failed call
    Then the store got 2 probes and no recovery is reported
