Feature: Histories of configuration and runners under troubles of the store and the network
  Scenario Outline: What the store acknowledged is in force at every gateway in touch, and never goes back
    When histories of seeds <first> to <last> are played with <gateways> gateways
    Then no promise is broken at any look

    Examples:
      | first | last | gateways |
      | 1     | 30   | 1        |
      | 31    | 60   | 3        |
      | 61    | 64   | 12       |
      | 2     | 2    | 60       |

  Scenario Outline: The checks notice a planted fault
    When a history with the planted fault "<fault>" and 3 gateways is sought among 40 seeds
    Then one breaks a promise, also with the fewest of its troubles

    Examples:
      | fault         |
      | watchBelieved |
      | oldReads      |
      | boundIgnored  |
      | goesBack      |
