Feature: Connections to replicas
  Scenario Outline: A silent connection is closed, however short the timeouts of its calls are
    Given a replica whose first connection is silent while later ones answer
    When it is called repeatedly with a timeout of <wait> milliseconds
    Then a call is answered within 2000 milliseconds

    Examples:
      | wait |
      | 250  |
      | 1000 |

  Scenario: A connection on which replies arrive is kept
    Given a replica that answers on all connections
    When it is called repeatedly with a timeout of 250 milliseconds
    Then a call is answered within 2000 milliseconds
    And 5000 milliseconds of calls use 1 connection
