Feature: Runners that have ended
  A runner that has ended may stay listed for seconds. What one request learned of its end holds for all.

  # Guards against requests that are held, or refused, for a runner that is known to have ended, although another one is free.
  Scenario: A request whose runner crashes is not held for one that ended before
    Given a gateway with two runners, and an entry of one that ended and whose address the second one has taken
    And the gateway has found that out
    When 6 requests are sent and the first runner crashes meanwhile
    Then all are answered within 500 ms
    And none of them was sent to the runner that had ended
