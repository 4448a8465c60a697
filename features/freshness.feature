Feature: Freshness of the copy of the store
  Scenario Outline: The worst path of a change fits the bound of each known deployment
    Given a bound of <bound> milliseconds for changes of the configuration
    Then the worst path of a change takes at most that long

    Examples:
      | bound |
      | 2000  |
      | 3000  |
      | 4000  |
      | 12000 |

  # Symptom: under bursts of load, a request once reached a runner 191 ms after the bound on its removal.
  # Cause: the worst case had no reserve, and a process that waits for CPU time is late in each step of it.
  Scenario Outline: The worst path of a change leaves a tenth of the bound to processes that are late
    Given a bound of <bound> milliseconds for changes of the configuration
    Then the worst path of a change leaves a tenth of that

    Examples:
      | bound |
      | 2000  |
      | 3000  |
      | 4000  |
      | 12000 |

  Scenario: The worst path of a change fits any bound of two seconds or more, but not a bound of one second
    Then the worst path fits every drawn bound from 2000 to 60000 milliseconds
    And the worst path does not fit a bound of 1000 milliseconds

  Scenario: An open watch proves nothing
    Given 3 gateways that gossip what they know of the store
    Then after 5000 milliseconds each has a proof at most 1000 milliseconds old
    When the store does not answer for 4000 milliseconds
    Then each knows that its newest proof is at least 3500 milliseconds old

  Scenario: A proof that returns through other gateways does not count as newer
    Given 8 gateways that gossip what they know of the store
    Then after 5000 milliseconds each has a proof at most 1000 milliseconds old
    When messages between gateways take 90 milliseconds longer and the store does not answer for 8000 milliseconds
    Then each knows that its newest proof is at least 7000 milliseconds old

  Scenario Outline: One gateway reads for all, and the next one when the first is refused
    Given <gateways> gateways that gossip what they know of the store
    Then after 12000 milliseconds each has a proof at most 1200 milliseconds old
    And in 10000 milliseconds all gateways together send at most <calls> short reads
    When the store refuses the first <refused> of them
    Then after 3000 milliseconds each has a proof at most <oldest> milliseconds old

    Examples:
      | gateways | refused | calls | oldest |
      | 1        | 0       | 25    | 1200   |
      | 8        | 3       | 35    | 1500   |
      | 40       | 14      | 45    | 1800   |
      | 160      | 60      | 60    | 1800   |

  Scenario: A silent store receives few calls, however many gateways there are
    Given 160 gateways that gossip what they know of the store
    Then after 12000 milliseconds each has a proof at most 1200 milliseconds old
    When the store does not answer for 10000 milliseconds
    Then all together made at most 1500 calls meanwhile

  Scenario: Runners whose entries lapsed during an outage are used until they had time to write again
    Given the runners "a b c" are listed
    When the entries of "a b" lapse and may be written again for 2400 milliseconds
    Then the runners "a b c" may get requests
    When the entry of "a" is written again
    And 2500 milliseconds pass
    Then the runners "a c" may get requests

  # Symptom: under high load, retries of requests that another runner had refused reached a runner up to 191 ms after
  #   the bound on its removal, although every gateway had known for two seconds that it was gone.
  # Scenario: a removed runner may be used for 1.2 s if no other runner is left; then a timer deletes it. The timer fired
  #   a fraction of a millisecond early, found that the 1.2 s were not over, and was not set again, so the runner stayed
  #   usable forever.
  # Cause: the timer's callback measured the time again for which the timer had been set.
  # Reproduction: a clock whose timers fire early; gateway logs showed a runner removed at 16.04 s and used until 18.1 s.
  Scenario: A removed runner is deleted although the timer for that fires a little early
    Given the runners "a b" are listed at a process whose timers come half a millisecond early
    When the runner "a" leaves
    And 1300 milliseconds pass
    And the runner "b" leaves
    Then the runners "b" may get requests

  Scenario Outline: Missing entries count as lapsed only for a time after an outage
    Given <gateways> gateways that gossip what they know of the store
    Then after 6000 milliseconds no missing entry counts as lapsed
    When the store does not answer for 5000 milliseconds
    Then every missing entry counts as lapsed
    When the store answers again
    Then after 1500 milliseconds every missing entry counts as lapsed
    And after 2500 milliseconds no missing entry counts as lapsed

    Examples:
      | gateways |
      | 1        |
      | 8        |
      | 40       |
